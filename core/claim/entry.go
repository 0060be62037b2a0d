package claim

import "time"

// entry is the record of one claimed key in a [Registry].
type entry struct {
	key     string
	expires time.Time
	settled bool
	outcome Outcome
	// index is the position in the registry's expiryHeap.
	index int
}
