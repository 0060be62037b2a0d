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

// NewTask returns a task of pool for a host of that generation. The target
// stops it if the lease is not renewed in time.
func NewTask(id, pool string, generation uint64, lease time.Duration, deadline time.Time, payload json.RawMessage) Task {
	return Task{id: id, pool: pool, generation: generation, lease: lease, deadline: deadline, payload: payload}
}

// ID returns the task id, unique for each attempt.
func (t Task) ID() string { return t.id }

// Pool returns the pool for which the task runs.
func (t Task) Pool() string { return t.pool }

// Generation returns the generation of the host that the sender knows.
func (t Task) Generation() uint64 { return t.generation }

// Lease returns how long the task may run without a renewal.
func (t Task) Lease() time.Duration { return t.lease }

// Deadline returns the time at which the answer is no longer wanted.
func (t Task) Deadline() time.Time { return t.deadline }

// Payload returns the JSON value to work on. It must not be changed.
func (t Task) Payload() json.RawMessage { return t.payload }
