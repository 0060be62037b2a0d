package drive

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/retry"
	"bramleyrock/core/sched"
)

// visit is one request on its way.
type visit struct {
	request rock.Request
	label   int
	entry   int
	era     int // generation of the entry
	arrived time.Duration
	begun   time.Duration
	work    time.Duration
	bad     bool
	history *retry.History
	ticket  sched.Ticket
	grant   sched.Grant
	running bool // granted a host
	holds   bool // holds a slot of its target
	waited  bool // has been granted a host before
	ended   bool
	attempt int
}
