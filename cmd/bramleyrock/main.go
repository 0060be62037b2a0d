// Command bramleyrock is the fleet capacity and maintenance manager: its
// daemon, its command line and its stand-ins for trials.
//
// # Usage
//
//	bramleyrock [command]
//
// Each command explains itself with --help.
package main

func main() {}
