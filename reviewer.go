package rock

import "time"

// Reviewer checks a proposed change before it is committed.
type Reviewer interface {
	// Review returns a failure with verdict [NotRun] if the edits, made to the
	// configuration before, must be refused, for example because they would
	// break an availability budget. It is called again with a newer
	// configuration if another change is committed first.
	Review(now time.Time, before Fleet, edits []Edit) error
}
