package place

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
)

// node is what is known of one host.
type node struct {
	host     rock.Host
	health   *eject.HostHealth
	inFlight int
	// leaving is true if the platform lists the host as leaving.
	leaving bool
	// most is the number of tasks allowed until heldUntil.
	most      int
	heldUntil time.Time
	// position is the index in the pool's free list, or -1.
	position int
}

// free reports whether the host may be given one more task.
func (n *node) free(now time.Time) bool {
	if !n.host.Open() || n.leaving {
		return false
	}
	limit := n.health.TaskLimit(now, n.host.Slots())
	if now.Before(n.heldUntil) {
		limit = min(limit, n.most)
	}
	return n.inFlight < limit
}

// usualRate is the share of failures that does not speak against a host. A
// single failure must not keep work away from a host of an idle pool, since
// only work can show that the host is well.
const usualRate = 0.2

// load returns the share of the host's slots that is taken, and more if much
// of its work fails, since a host that fails fast always looks idle.
func (n *node) load() float64 {
	return float64(n.inFlight)/float64(n.host.Slots()) + max(0, n.health.FailureRate()-usualRate)
}

// releaseAt returns the time at which the node is to be looked at again, or
// zero if it is not held back.
func (n *node) releaseAt(now time.Time) time.Time {
	if n.health.State(now) == eject.Ejected {
		return n.health.EjectedUntil()
	}
	if now.Before(n.heldUntil) {
		return n.heldUntil
	}
	return time.Time{}
}
