package route

import (
	"slices"
	"time"

	rock "bramleyrock"
)

// choosePeer returns the peer of another zone that is expected to run the
// request soonest, or nil if no peer is expected to run it sooner than the
// entry's own zone. It skips the peers in asked, which were tried before. An
// entry that may not place tasks yet also considers the peers of its own zone.
func (e *Engine) choosePeer(r rock.Request, asked []string) rock.Peer {
	if e.settings.Peers == nil || r.Hops() >= e.settings.Limits.MaxHops {
		return nil
	}
	now := e.settings.Now()
	if !e.mustWait(now, r) {
		return nil
	}
	peers := e.settings.Peers.Alive(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.sched.Load(r.Pool(), r.Class())
	best, shortest := -1, own.Wait()
	for i, v := range peers {
		if slices.Contains(asked, v.Peer().Member().Name()) {
			continue
		}
		wait, ok := e.predictWait(v, r.Pool())
		if ok && (wait < shortest || own.Slots() == 0 && best < 0) {
			best, shortest = i, wait
		}
	}
	if best < 0 {
		return nil
	}
	e.forwards.Add(peers[best].Peer().Member().Name(), peers[best].ReceivedAt(), r.Pool())
	return peers[best].Peer()
}

// mustWait reports whether the request would have to wait for a host of the
// entry's own zone.
func (e *Engine) mustWait(now time.Time, r rock.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refresh(now) != nil {
		return false
	}
	own := e.sched.Load(r.Pool(), r.Class())
	return own.Slots() == 0 || own.Wait() > 0
}

// predictWait returns the predicted wait at a peer, including the round trip. It
// returns false if the peer has no open hosts of the pool, or shares its hosts
// with this entry. The caller holds e.mu.
func (e *Engine) predictWait(v rock.PeerView, pool string) (time.Duration, bool) {
	if v.Heartbeat().Member().Zone() == e.settings.Member.Zone() && e.mayPlace() {
		return 0, false
	}
	for _, l := range v.Heartbeat().Pools() {
		if l.Pool() == pool && l.Slots() > 0 {
			wait := e.forwards.PredictedWait(v.Peer().Member().Name(), v.ReceivedAt(), l, e.sched.MeanRunTime(pool))
			return wait + v.RoundTrip(), true
		}
	}
	return 0, false
}
