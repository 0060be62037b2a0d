package rock

import (
	"encoding/json"
	"time"
)

// Task is one attempt to run a request or job on a host.
type Task struct {
	id         string
	pool       string
	generation uint64
	lease      time.Duration
	deadline   time.Time
	payload    json.RawMessage
}

// NewTask returns a task of pool for a host of that generation. The target stops
// the task if its lease, of that duration, is not renewed in time.
func NewTask(id, pool string, generation uint64, lease time.Duration, deadline time.Time, payload json.RawMessage) Task {
	return Task{id: id, pool: pool, generation: generation, lease: lease, deadline: deadline, payload: payload}
}

// ID returns the task id, unique for each attempt.
func (t Task) ID() string { return t.id }

// Pool returns the pool for which the task runs.
func (t Task) Pool() string { return t.pool }

// Generation returns the generation of the host as known to the sender.
func (t Task) Generation() uint64 { return t.generation }

// Lease returns how long the task may run without a renewal of its lease.
func (t Task) Lease() time.Duration { return t.lease }

// Deadline returns the time after which the answer is no longer needed.
func (t Task) Deadline() time.Time { return t.deadline }

// Payload returns the JSON value passed to the task. The caller must not change
// it.
func (t Task) Payload() json.RawMessage { return t.payload }
