package place

import (
	"math/rand/v2"
	"time"

	"bramleyrock/core/eject"
)

// defaultRefusalBackoff is the default of [Settings.RefusalBackoff].
const defaultRefusalBackoff = 100 * time.Millisecond

// leavingBackoff is how long a target gets no tasks after it refused one because it
// is leaving or knows of a newer generation.
const leavingBackoff = time.Second

// Settings holds the parameters of a [Placer].
type Settings struct {
	// Zone is the availability zone whose hosts are chosen from.
	Zone string
	// Random is the source of random numbers for the choices.
	Random *rand.Rand
	// Policy says how hosts are chosen; the default is [TwoChoices].
	Policy Policy
	// RefusalBackoff is how long a target that refused a task because its slots
	// are in use gets no more tasks of this entry than it has; the default is
	// 100 ms.
	RefusalBackoff time.Duration
	// Eject holds the parameters of outlier detection and ejection.
	Eject eject.Settings
	// DisableEjection turns ejection off.
	DisableEjection bool
}
