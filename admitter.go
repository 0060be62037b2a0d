package rock

import "time"

// Admitter decides whether a request may wait for a slot of its pool.
type Admitter interface {
	// Admit returns nil, or a failure with verdict [NotRun] and a wait after
	// which to retry if the request cannot make its deadline.
	Admit(now time.Time, r Request) error
}
