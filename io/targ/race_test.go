//go:build race

package targ_test

const (
	// schedules is the number of seeded schedules.
	schedules = 400
	// siteSchedules is the number of seeded schedules through entries.
	siteSchedules = 96
	// parallelShards is false because the race detector of Go 1.26 breaks
	// down if several synctest bubbles run at the same time.
	parallelShards = false
)
