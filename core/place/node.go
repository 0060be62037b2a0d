package place

import (
	"time"

	rock "bramleyrock"
)

// node is what is known of one host.
type node struct {
	host      rock.Host
	inFlight  int
	heldUntil time.Time
	// position is the index in the pool's free list, or -1.
	position int
}

// free reports whether the host may be given one more task.
func (n *node) free(now time.Time) bool {
	return n.host.Open() && n.inFlight < n.host.Slots() && !now.Before(n.heldUntil)
}

// load returns the share of the host's slots that is taken.
func (n *node) load() float64 {
	return float64(n.inFlight) / float64(n.host.Slots())
}
