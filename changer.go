package rock

import (
	"context"
	"time"
)

// Changer makes changes to records.
type Changer interface {
	// Change makes the proposed change and returns it as accepted. A refusal
	// has verdict [NotRun]; if the outcome is unknown, it is [OutcomeUnknown] with
	// verdict [MayHaveRun] and may be settled with Settle.
	Change(ctx context.Context, now time.Time, p Proposal) (Change, error)
	// FindChange returns the accepted change with that id, or a [NotFound]
	// failure if there is none.
	FindChange(ctx context.Context, changeID string) (Change, error)
}
