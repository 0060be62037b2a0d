package job

import (
	"time"

	rock "bramleyrock"
)

// Observation is what the holder of a job knows about its task at one moment.
type Observation struct {
	// Status is the target's report of the task; it is zero if the target did
	// not answer.
	Status rock.TaskStatus
	// LastAnswerAt is when the target last answered, or when the job was
	// claimed or adopted if it has not answered since.
	LastAnswerAt time.Time
	// LastCheckpointAt is when the last checkpoint was taken, or when the job
	// was claimed or adopted if none was taken since.
	LastCheckpointAt time.Time
	// CancelRequested is true if the caller cancelled the job.
	CancelRequested bool
	// HostClosed is true if the host takes no new work.
	HostClosed bool
}
