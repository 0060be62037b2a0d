package place

import (
	"time"
)

// poolHosts holds the hosts of one pool in the zone.
type poolHosts struct {
	poolState
	hosts []*hostState
	// free holds the hosts that may be given one more task, in no order.
	free []*hostState
	// restricted holds the hosts that are ejected or in backoff. No restriction
	// ends before nextLift.
	restricted []*hostState
	nextLift   time.Time
	// slots is the number of slots of open hosts.
	slots int
	// slotsInUse is the number of tasks in flight on open hosts.
	slotsInUse int
	// roundRobin counts the choices of policy [RoundRobin].
	roundRobin int
}

// updateFree adds h to the free list if it may be given one more task, and removes
// it otherwise.
func (ph *poolHosts) updateFree(now time.Time, h *hostState) {
	hasFreeSlot := h.hasFreeSlot(now)
	switch {
	case hasFreeSlot && h.freeIndex < 0:
		h.freeIndex = len(ph.free)
		ph.free = append(ph.free, h)
	case !hasFreeSlot && h.freeIndex >= 0:
		last := ph.free[len(ph.free)-1]
		ph.free[h.freeIndex] = last
		last.freeIndex = h.freeIndex
		ph.free = ph.free[:len(ph.free)-1]
		h.freeIndex = -1
	}
}

// restrict registers the restriction of h, so that h is examined again at the given
// time.
func (ph *poolHosts) restrict(h *hostState, until time.Time) {
	if len(ph.restricted) == 0 || until.Before(ph.nextLift) {
		ph.nextLift = until
	}
	ph.restricted = append(ph.restricted, h)
}

// liftRestrictions updates the free list for the hosts whose restrictions have
// ended.
func (ph *poolHosts) liftRestrictions(now time.Time) {
	if len(ph.restricted) == 0 || now.Before(ph.nextLift) {
		return
	}
	restricted := ph.restricted
	ph.restricted = nil
	for _, h := range restricted {
		if until := h.restrictedUntil(now); !until.IsZero() {
			ph.restrict(h, until)
			continue
		}
		ph.updateFree(now, h)
	}
}
