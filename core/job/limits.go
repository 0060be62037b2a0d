package job

import "time"

// Limits holds the durations and counts by which [Limits.NextAction] and
// [Limits.PreemptionVictim] decide. A zero field means its default.
type Limits struct {
	// TaskLease is how long a task goes on without a renewal by its holder; the
	// default is 45 s. It outlasts the lease of a session, so that a task whose
	// holder died can be adopted.
	TaskLease time.Duration
	// CheckpointInterval is the time between checkpoints; the default is 5 min.
	CheckpointInterval time.Duration
	// MaxFailedHosts is the number of different hosts on which an idempotent
	// job has to fail before it is quarantined; the default is 3.
	MaxFailedHosts int
	// PreemptAfter is how long an urgent job waits before it preempts a normal
	// one; the default is 1 s.
	PreemptAfter time.Duration
}

// WithDefaults returns l with every zero field set to its default.
func (l Limits) WithDefaults() Limits {
	orDefault(&l.TaskLease, 45*time.Second)
	orDefault(&l.CheckpointInterval, 5*time.Minute)
	orDefault(&l.PreemptAfter, time.Second)
	if l.MaxFailedHosts <= 0 {
		l.MaxFailedHosts = 3
	}
	return l
}

func orDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
