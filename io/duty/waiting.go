package duty

import "time"

// Waiting is a move or wave that cannot go on yet.
type Waiting struct {
	subject  string
	waitsFor string
	since    time.Time
}

// Subject returns the key of the record, such as "move/m1".
func (w Waiting) Subject() string { return w.subject }

// WaitsFor returns what the subject waits for.
func (w Waiting) WaitsFor() string { return w.waitsFor }

// Since returns when the subject reached its present state.
func (w Waiting) Since() time.Time { return w.since }
