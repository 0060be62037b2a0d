package place

import (
	"math/rand/v2"
	"time"

	"bramleyrock/core/eject"
)

// defaultHold is how long a target that refused a task for want of a slot gets
// no more tasks than it holds.
const defaultHold = 100 * time.Millisecond

// leavingHold is how long a target that refused a task because it is leaving,
// or knows of a newer generation, gets no more tasks.
const leavingHold = time.Second

// Settings holds the parameters of a [Placer].
type Settings struct {
	// Zone is the availability zone whose hosts are placed on.
	Zone string
	// Random is the source of the choices.
	Random *rand.Rand
	// Policy is the way of choosing; the zero value means [TwoChoices].
	Policy Policy
	// RefusalBackoff is how long a target that refused a task for want of a slot gets
	// no more tasks than it holds of this entry; zero means 100 ms.
	RefusalBackoff time.Duration
	// Eject holds the parameters of ejection.
	Eject eject.Settings
	// DisableEjection turns ejection off.
	DisableEjection bool
}
