package crew

import "time"

// task is a task on a target.
type task struct {
	id      int
	host    string
	pool    string
	entry   string
	arrives time.Time
	lapses  time.Time
}
