package job

import (
	"encoding/json"
	"time"

	rock "bramleyrock"
)

// Spec describes a job that a caller submits.
type Spec struct {
	// ID is unique among all jobs. The ids of jobs sort by time of submission.
	ID string
	// Organisation is the name of the caller's organisation.
	Organisation string
	// Pool is the name of the pool whose hosts run the job.
	Pool string
	// Class decides the job's priority; the zero value means [rock.Normal].
	Class rock.Class
	// Idempotent is true if the job may be started more than once.
	Idempotent bool
	// MaxRun is the longest time that one run may take; 0 means no bound.
	MaxRun time.Duration
	// Payload is the JSON value that is sent to the target.
	Payload json.RawMessage
}
