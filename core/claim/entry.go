package claim

import "time"

// entry is what a [Registry] remembers of one key.
type entry struct {
	key     string
	expires time.Time
	settled bool
	outcome Outcome
	// index is the position in the heap of expiries.
	index int
}
