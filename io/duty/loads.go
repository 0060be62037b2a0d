package duty

import (
	"time"

	"bramleyrock/core/plan"
)

// LoadSource returns the load of all pools for the capacity plan.
type LoadSource interface {
	// Loads returns a sample of each pool that has hosts, summed over the
	// entries that have recently sent their load.
	Loads(now time.Time) []plan.Sample
}
