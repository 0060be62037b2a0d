package rock

import "time"

// MaintenanceWave is a request of an operator to maintain hosts.
type MaintenanceWave struct {
	// Number names the wave.
	Number int64
	// Hosts lists the hosts to maintain.
	Hosts []string
	// TimeLimit is the time in which all should be done.
	TimeLimit time.Duration
	// MaxParallel is the greatest number of hosts that are down for it at a time.
	MaxParallel int
}
