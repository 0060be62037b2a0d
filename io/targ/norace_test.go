//go:build !race

package targ_test

const (
	// schedules is the number of seeded schedules.
	schedules = 10_000
	// siteSchedules is the number of seeded schedules through entries.
	siteSchedules = 10_000
	// waveTasks is the number of tasks that are given up at once.
	waveTasks = 10_000
	// parallelShards is true if shards run at the same time.
	parallelShards = true
)
