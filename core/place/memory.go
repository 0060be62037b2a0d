package place

import (
	"math/rand/v2"

	"bramleyrock/core/eject"
)

// memory is what is kept of a pool over configurations. Each pool has a random
// source of its own, so that no pool's choices depend on another's load.
type memory struct {
	watch  *eject.Detector
	random *rand.Rand
}
