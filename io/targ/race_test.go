//go:build race

package targ_test

const (
	// schedules is the number of seeded schedules.
	schedules = 400
	// siteSchedules is the number of seeded schedules through entries.
	siteSchedules = 96
	// waveTasks is the number of tasks that are given up at once. The race
	// detector takes at most 8128 goroutines.
	waveTasks = 1_000
	// parallelShards is false because the race detector of Go 1.26 breaks
	// down if several synctest bubbles run at the same time.
	parallelShards = false
)
