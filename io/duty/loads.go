package duty

import (
	"time"

	"bramleyrock/core/plan"
)

// Loads gives the load of all pools, for the capacity plan.
type Loads interface {
	// Loads returns a sample of each pool with hosts, as summed over the
	// entries that were heard from lately.
	Loads(now time.Time) []plan.Sample
}
