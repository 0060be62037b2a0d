package rock

import (
	"context"
	"time"
)

// Changer makes changes to records.
type Changer interface {
	// Change commits the proposed change and returns it as accepted. A refusal
	// has verdict [NotRun]. If it is unknown whether the change was committed,
	// the failure is [OutcomeUnknown] with verdict [MayHaveRun], and FindChange
	// tells the outcome.
	Change(ctx context.Context, now time.Time, p Proposal) (Change, error)
	// FindChange returns the accepted change with that id, or a [NotFound]
	// failure if there is none.
	FindChange(ctx context.Context, changeID string) (Change, error)
}
