package job

import (
	"encoding/json"
	"time"

	rock "bramleyrock"
)

// Spec is what a caller asks for.
type Spec struct {
	// ID is unique among all jobs and orders them by time.
	ID string
	// Organisation is the caller's.
	Organisation string
	// Pool is the name of the pool.
	Pool string
	// Class is the class; the zero value means normal.
	Class rock.Class
	// Idempotent is true if the job may be started more than once.
	Idempotent bool
	// MaxRun bounds the time of one run; 0 means no bound.
	MaxRun time.Duration
	// Payload is the JSON value for the target.
	Payload json.RawMessage
}
