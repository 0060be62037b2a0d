package work

import (
	"time"

	rock "bramleyrock"
)

// Run is a line of a worker's ledger: a task that was started.
type Run struct {
	// Host is the worker's name.
	Host string `json:"host"`
	// TaskID is the id of the task.
	TaskID string `json:"task_id"`
	// Key is the key in the task's payload.
	Key string `json:"key,omitempty"`
	// Pool is the pool for which the task ran.
	Pool string `json:"pool"`
	// Generation is the generation that the sender knew.
	Generation uint64 `json:"generation"`
	// Start is when the task was started.
	Start time.Time `json:"start"`
	// End is when the task ended, or zero while it runs.
	End time.Time `json:"end,omitzero"`
	// State is the state of the task.
	State rock.TaskState `json:"state"`
	// Digest is the digest of the answer, as sha256:<hex>, if the task is
	// done.
	Digest string `json:"digest,omitempty"`
}
