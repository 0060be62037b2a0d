package job

import "time"

// Limits are the bounds by which jobs are judged. A zero field stands for its
// default.
type Limits struct {
	// TaskLease is how long a task goes on without a renewal by its holder; 45
	// s by default. It outlasts the lease of a session, so that a task whose
	// holder died can be adopted.
	TaskLease time.Duration
	// CheckpointInterval is the time between checkpoints; 5 min by default.
	CheckpointInterval time.Duration
	// MaxFailedHosts is the number of hosts on which an idempotent job may
	// fail before it is quarantined; 3 by default.
	MaxFailedHosts int
	// PreemptAfter is how long an urgent job waits before a normal one has to
	// make room; 1 s by default.
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
