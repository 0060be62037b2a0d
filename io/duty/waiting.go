package duty

import "time"

// Waiting describes a move, a wave or a host of a wave that cannot proceed yet, or
// a host whose planned move waits for an operator.
type Waiting struct {
	subject  string
	waitsFor string
	since    time.Time
}

// Subject returns the key of the record, such as "move/m1", or for a host of a
// wave both keys, such as "wave/w1 host/h1".
func (w Waiting) Subject() string { return w.subject }

// WaitsFor returns what the subject waits for.
func (w Waiting) WaitsFor() string { return w.waitsFor }

// Since returns the time at which the subject reached its present state.
func (w Waiting) Since() time.Time { return w.since }
