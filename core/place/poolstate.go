package place

import (
	"math/rand/v2"

	"bramleyrock/core/eject"
)

// poolState is the state of a pool that survives changes of the configuration. Each
// pool has a random source of its own, so that the choices for a pool do not depend
// on the load of other pools.
type poolState struct {
	detector *eject.Detector
	random   *rand.Rand
}
