package place

import (
	"math/rand/v2"
	"time"
)

// defaultHold is how long a target that refused a task for want of a slot is
// left alone.
const defaultHold = 20 * time.Millisecond

// Settings holds the parameters of a [Placer].
type Settings struct {
	// Zone is the availability zone whose hosts are placed on.
	Zone string
	// Random is the source of the choices.
	Random *rand.Rand
	// Policy is the way of choosing; the zero value means [TwoChoices].
	Policy Policy
	// Hold is how long a target that refused a task for want of a slot is
	// left alone; zero means 20 ms.
	Hold time.Duration
}
