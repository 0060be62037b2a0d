package job

// State is the state of a job.
type State string

// The states of a job.
const (
	// Waiting means that no entry holds the job.
	Waiting State = "waiting"
	// Running means that an entry holds the job and has a task for it.
	Running State = "running"
	// Done means that the task ended with a result.
	Done State = "done"
	// Failed means that the task ended without a result or was cancelled
	// because it ran for too long.
	Failed State = "failed"
	// Cancelled means that the caller cancelled the job.
	Cancelled State = "cancelled"
	// Unsettled means that the task was lost and may have run, so that a job
	// that is not idempotent cannot be started again.
	Unsettled State = "unsettled"
	// Quarantined means that the job failed on several hosts and is not started
	// again.
	Quarantined State = "quarantined"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s != Waiting && s != Running }
