package sched

import (
	"time"

	rock "bramleyrock"
)

// ForwardCounts counts the requests that were forwarded to each pool of a peer
// since the peer last reported its load. It corrects loads that may be a second
// old, so that not all requests go to the peer that looked least loaded. Its zero
// value is ready to use. It is not safe for concurrent use.
type ForwardCounts struct {
	counts map[peerPool]forwardCount
}

// PredictedWait returns the predicted wait at a peer that reported its load of a
// pool at loadAt. It is the wait that the peer reported, plus the wait for those
// of the requests forwarded since that exceed its free slots. RunTime is the
// mean run time of the pool's requests.
func (f *ForwardCounts) PredictedWait(peer string, loadAt time.Time, load rock.PoolLoad, runTime time.Duration) time.Duration {
	c := f.counts[peerPool{peer, load.Pool()}]
	if !c.loadAt.Equal(loadAt) {
		return load.Wait()
	}
	excess := c.count - max(0, load.Slots()-load.InFlight())
	return load.Wait() + time.Duration(max(0, excess))*runTime/time.Duration(max(1, load.Slots()))
}

// Add records that a request for the pool is forwarded to a peer that last
// reported its load at loadAt.
func (f *ForwardCounts) Add(peer string, loadAt time.Time, pool string) {
	if f.counts == nil {
		f.counts = map[peerPool]forwardCount{}
	}
	k := peerPool{peer, pool}
	c := f.counts[k]
	if !c.loadAt.Equal(loadAt) {
		c = forwardCount{loadAt: loadAt}
	}
	c.count++
	f.counts[k] = c
}
