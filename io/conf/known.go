package conf

import (
	"slices"
	"sync"
)

// known holds the variables of all commands of the program, so that one
// environment can serve them all.
var known = struct {
	sync.Mutex
	names map[string]bool
}{names: map[string]bool{}}

// register makes a variable known.
func register(variable string) {
	known.Lock()
	defer known.Unlock()
	known.names[variable] = true
}

// unknown returns the names that no command knows, in order.
func unknown(variables map[string]string) []string {
	known.Lock()
	defer known.Unlock()
	var names []string
	for name := range variables {
		if !known.names[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
