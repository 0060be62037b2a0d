package route

import (
	"time"

	rock "bramleyrock"
)

// elsewhere returns the peer of another zone that is expected to run the
// request sooner, or nil if the entry's own zone is.
func (e *Engine) elsewhere(r rock.Request, h *history) rock.Peer {
	if e.settings.Peers == nil || h.forwarded || r.Hops() >= e.settings.Limits.Hops {
		return nil
	}
	now := e.settings.Now()
	e.mu.Lock()
	own := rock.NewPoolLoad(r.Pool(), 0, 0, 0, 0)
	if e.refresh(now) == nil {
		own = e.sched.Load(r.Pool())
	}
	e.mu.Unlock()
	if own.Slots() > 0 && own.Wait() == 0 {
		return nil
	}
	var best rock.Peer
	limit := own.Wait()
	for _, v := range e.settings.Peers.Alive(now) {
		wait, ok := e.waitAt(v, r.Pool())
		if ok && (own.Slots() == 0 && best == nil || wait < limit) {
			best, limit = v.Peer(), wait
		}
	}
	return best
}

// waitAt returns the predicted wait at a peer of another zone, the way there
// and back included, and whether it has open hosts of the pool.
func (e *Engine) waitAt(v rock.PeerView, pool string) (time.Duration, bool) {
	if v.Heartbeat().Member().Zone() == e.settings.Member.Zone() {
		return 0, false
	}
	for _, l := range v.Heartbeat().Pools() {
		if l.Pool() == pool && l.Slots() > 0 {
			return l.Wait() + v.RoundTrip(), true
		}
	}
	return 0, false
}
