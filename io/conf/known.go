package conf

import (
	"slices"
	"sync"
)

// knownVariables holds the variables of all commands of the program. A variable of
// another command is not reported as unknown, so that all commands can run in the
// same environment.
var knownVariables = struct {
	sync.Mutex
	names map[string]bool
}{names: map[string]bool{}}

// registerVariable adds a variable to knownVariables.
func registerVariable(variable string) {
	knownVariables.Lock()
	defer knownVariables.Unlock()
	knownVariables.names[variable] = true
}

// unknownVariables returns the names that are not in knownVariables, sorted.
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
