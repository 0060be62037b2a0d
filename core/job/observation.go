package job

import (
	"time"

	rock "bramleyrock"
)

// Observation is what a holder knows of a job's task at one moment.
type Observation struct {
	// Status is the target's report; it is zero if the target did not answer.
	Status rock.TaskStatus
	// LastAnswerAt is when the target answered last, or when the job was claimed
	// or adopted.
	LastAnswerAt time.Time
	// LastCheckpointAt is when the last checkpoint was taken, or when the job was
	// claimed or adopted.
	LastCheckpointAt time.Time
	// CancelRequested is true if the caller asked to cancel the job.
	CancelRequested bool
	// HostClosed is true if the host takes no new work.
	HostClosed bool
}
