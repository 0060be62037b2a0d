package duty

import (
	"time"

	"bramleyrock/core/plan"
)

// LoadSource gives the load of all pools, for the capacity plan.
type LoadSource interface {
	// Loads returns a sample of each pool with hosts, as summed over the
	// entries that were heard from lately.
	Loads(now time.Time) []plan.Sample
}
