package conf

import (
	"slices"
	"sync"
)

// knownVariables holds the variables of all commands of the program, so that one
// environment can serve them all.
var knownVariables = struct {
	sync.Mutex
	names map[string]bool
}{names: map[string]bool{}}

// registerVariable makes a variable known.
func registerVariable(variable string) {
	knownVariables.Lock()
	defer knownVariables.Unlock()
	knownVariables.names[variable] = true
}

// unknownVariables returns the names that no command knows, in order.
func unknownVariables(variables map[string]string) []string {
	knownVariables.Lock()
	defer knownVariables.Unlock()
	var names []string
	for name := range variables {
		if !knownVariables.names[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
