// Command bramleyrock is the fleet capacity and maintenance manager: the
// daemon, the command line for operators and callers, and a trial that needs
// nothing else.
//
// # Usage
//
//	bramleyrock entry            run an entry process
//	bramleyrock trial            run a small deployment in one process
//	bramleyrock apply -f FILE    change records
//	bramleyrock call POOL JSON   send a request
//
// Each command explains itself with --help. Settings are flags or variables:
// --read-timeout is BRAMLEYROCK_READ_TIMEOUT. The exit status is 0 for
// success, 1 for a refusal or failure, 2 for a mistake in the command line or
// settings, and 3 if it is not known whether a change took effect.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	a := &app{environ: os.Environ(), in: os.Stdin, out: os.Stdout, errs: os.Stderr}
	status := a.run(ctx, os.Args[1:])
	stop()
	os.Exit(status)
}
