package duty

import (
	"context"
	"time"

	rock "bramleyrock"
)

// Duty is background work that at most one entry may do at a time.
type Duty interface {
	// Name returns the name of the duty and of its lease.
	Name() string
	// Round does the work that is pending at the time now. Every write must
	// carry the guard of the parameters.
	Round(ctx context.Context, now time.Time, params RoundParams) error
}

// ConditionalDuty is a duty that has work only at times.
type ConditionalDuty interface {
	// HasWork reports whether the configuration holds work for the duty. The
	// lease is acquired and renewed only while it does.
	HasWork(fleet rock.Fleet) bool
}

// RoundParams holds the parameters of one round.
type RoundParams struct {
	// Holder is the name of the entry that holds the duty.
	Holder string
	// Fleet is the configuration in force.
	Fleet rock.Fleet
	// Guard holds the conditions that make writes fail once the lease is lost.
	Guard rock.Transaction
}
