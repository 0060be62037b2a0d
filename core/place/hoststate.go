package place

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
)

// hostState is the state of one host.
type hostState struct {
	host     rock.Host
	health   *eject.HostHealth
	inFlight int
	// leaving is true if the platform lists the host as leaving.
	leaving bool
	// backoffLimit is the maximum number of tasks in flight until backoffUntil.
	backoffLimit int
	backoffUntil time.Time
	// freeIndex is the index of the host in the pool's free list, or -1.
	freeIndex int
}

// hasFreeSlot reports whether the host may be given one more task.
func (h *hostState) hasFreeSlot(now time.Time) bool {
	if !h.host.Open() || h.leaving {
		return false
	}
	limit := h.health.TaskLimit(now, h.host.Slots())
	if now.Before(h.backoffUntil) {
		limit = min(limit, h.backoffLimit)
	}
	return h.inFlight < limit
}

// toleratedFailureRate is the share of failures that does not add to a host's load.
// A single failure must not keep work away from a host of an idle pool, since only
// work can show that the host is healthy.
const toleratedFailureRate = 0.2

// load returns the share of the host's slots that is in use. The failure rate above
// the tolerated one is added, since a host that fails fast always looks idle.
func (h *hostState) load() float64 {
	return float64(h.inFlight)/float64(h.host.Slots()) + max(0, h.health.FailureRate()-toleratedFailureRate)
}

// restrictedUntil returns the time at which the ejection or backoff of the host
// ends, or the zero time if there is none.
func (h *hostState) restrictedUntil(now time.Time) time.Time {
	if h.health.State(now) == eject.Ejected {
		return h.health.EjectedUntil()
	}
	if now.Before(h.backoffUntil) {
		return h.backoffUntil
	}
	return time.Time{}
}
