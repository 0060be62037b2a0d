package rock

import "time"

// Reviewer checks a proposed change before it is committed.
type Reviewer interface {
	// Review returns a failure with verdict [NotRun] if the edits must not be
	// applied to the configuration before, for example because they would
	// violate an availability budget. It is called again with a newer
	// configuration if another change is committed first.
	Review(now time.Time, before Fleet, edits []Edit) error
}
