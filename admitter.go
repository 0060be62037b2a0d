package rock

import "time"

// Admitter decides on the admission of requests to the queue of their pool.
type Admitter interface {
	// Admit returns nil if the request may wait for a slot. If it cannot run
	// before its deadline, Admit returns a failure with verdict [NotRun] and a
	// wait after which to retry.
	Admit(now time.Time, r Request) error
}
