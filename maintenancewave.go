package rock

import "time"

// MaintenanceWave is an operator's request to maintain a set of hosts.
type MaintenanceWave struct {
	// Number identifies the wave.
	Number int64
	// Hosts lists the names of the hosts.
	Hosts []string
	// TimeLimit is the time in which all hosts should be maintained.
	TimeLimit time.Duration
	// MaxParallel is the maximum number of hosts that are down for the wave at
	// the same time.
	MaxParallel int
}
