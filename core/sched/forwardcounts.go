package sched

import (
	"time"

	rock "bramleyrock"
)

// ForwardCounts counts the requests handed to peers since each peer last told its
// load, so that a load which is a second old does not draw everything to the
// same peer. Its zero value is ready to use. It is not safe for concurrent use.
type ForwardCounts struct {
	counts map[peerPool]forwardCount
}

// PredictedWait returns the predicted wait at a peer that told its load of a pool at
// that time: the wait that it told, and that for the requests handed to it
// since then which its free slots do not hold. Runs take runTime on average.
func (h *ForwardCounts) PredictedWait(peer string, told time.Time, load rock.PoolLoad, runTime time.Duration) time.Duration {
	c := h.counts[peerPool{peer, load.Pool()}]
	if !c.loadAt.Equal(told) {
		return load.Wait()
	}
	excess := c.count - max(0, load.Slots()-load.InFlight())
	return load.Wait() + time.Duration(max(0, excess))*runTime/time.Duration(max(1, load.Slots()))
}

// Add notes that a request is handed to a peer that told its load at that time.
func (h *ForwardCounts) Add(peer string, told time.Time, pool string) {
	if h.counts == nil {
		h.counts = map[peerPool]forwardCount{}
	}
	k := peerPool{peer, pool}
	c := h.counts[k]
	if !c.loadAt.Equal(told) {
		c = forwardCount{loadAt: told}
	}
	c.count++
	h.counts[k] = c
}
