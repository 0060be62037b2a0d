package route

import (
	"slices"
	"time"

	rock "bramleyrock"
)

// elsewhere returns the peer of another zone that is expected to run the
// request sooner than the own zone, or nil if there is none. Asked lists the
// peers that refused it. An entry that may not place yet asks the peers of its
// own zone too.
func (e *Engine) elsewhere(r rock.Request, asked []string) rock.Peer {
	if e.settings.Peers == nil || r.Hops() >= e.settings.Limits.MaxHops {
		return nil
	}
	now := e.settings.Now()
	if !e.crowded(now, r) {
		return nil
	}
	peers := e.settings.Peers.Alive(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.sched.Load(r.Pool(), r.Class())
	best, least := -1, own.Wait()
	for i, v := range peers {
		if slices.Contains(asked, v.Peer().Member().Name()) {
			continue
		}
		wait, ok := e.waitAt(v, r.Pool())
		if ok && (wait < least || own.Slots() == 0 && best < 0) {
			best, least = i, wait
		}
	}
	if best < 0 {
		return nil
	}
	e.handed.Add(peers[best].Peer().Member().Name(), peers[best].ReceivedAt(), r.Pool())
	return peers[best].Peer()
}

// crowded reports whether the request would have to wait in the own zone.
func (e *Engine) crowded(now time.Time, r rock.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refresh(now) != nil {
		return false
	}
	own := e.sched.Load(r.Pool(), r.Class())
	return own.Slots() == 0 || own.Wait() > 0
}

// waitAt returns the predicted wait at a peer, the way there and back included,
// and whether it has open hosts of the pool that the entry has not itself. The
// lock is held.
func (e *Engine) waitAt(v rock.PeerView, pool string) (time.Duration, bool) {
	if v.Heartbeat().Member().Zone() == e.settings.Member.Zone() && e.mayPlace() {
		return 0, false
	}
	for _, l := range v.Heartbeat().Pools() {
		if l.Pool() == pool && l.Slots() > 0 {
			wait := e.handed.PredictedWait(v.Peer().Member().Name(), v.ReceivedAt(), l, e.sched.MeanRunTime(pool))
			return wait + v.RoundTrip(), true
		}
	}
	return 0, false
}
