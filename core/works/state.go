package works

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }
