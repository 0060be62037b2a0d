package duty

import (
	"context"
	"time"

	rock "bramleyrock"
)

// Duty is work that must have one holder.
type Duty interface {
	// Name returns the name of the duty, which names its lease.
	Name() string
	// Round does what is to be done at the time now. Every write must carry
	// the guard of the turn.
	Round(ctx context.Context, now time.Time, turn RoundParams) error
}

// ConditionalDuty is a duty that is not always needed.
type ConditionalDuty interface {
	// HasWork reports whether there is work in the configuration. The lease is
	// taken and renewed only while there is.
	HasWork(fleet rock.Fleet) bool
}

// RoundParams is what a holder needs for one round.
type RoundParams struct {
	// Holder is the name of the entry.
	Holder string
	// Fleet is the configuration in force.
	Fleet rock.Fleet
	// Guard holds the conditions that fence a holder whose lease was lost.
	Guard rock.Transaction
}
