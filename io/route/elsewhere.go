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
	if e.settings.Peers == nil || r.Hops() >= e.settings.Limits.Hops {
		return nil
	}
	now := e.settings.Now()
	own, known := e.load(now, r)
	if !known || own.Slots() > 0 && own.Wait() == 0 {
		return nil
	}
	var best rock.Peer
	least := own.Wait()
	for _, v := range e.settings.Peers.Alive(now) {
		if slices.Contains(asked, v.Peer().Member().Name()) {
			continue
		}
		wait, ok := e.waitAt(v, r.Pool())
		if ok && (wait < least || own.Slots() == 0 && best == nil) {
			best, least = v.Peer(), wait
		}
	}
	return best
}

// load returns the own load of the request's pool, with the wait of its class.
func (e *Engine) load(now time.Time, r rock.Request) (rock.PoolLoad, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refresh(now) != nil {
		return rock.PoolLoad{}, false
	}
	return e.sched.Load(r.Pool(), r.Class()), true
}

// waitAt returns the predicted wait at a peer, the way there and back included,
// and whether it has open hosts of the pool that the entry has not itself.
func (e *Engine) waitAt(v rock.PeerView, pool string) (time.Duration, bool) {
	if v.Heartbeat().Member().Zone() == e.settings.Member.Zone() && e.mayPlace() {
		return 0, false
	}
	for _, l := range v.Heartbeat().Pools() {
		if l.Pool() == pool && l.Slots() > 0 {
			return l.Wait() + v.RoundTrip(), true
		}
	}
	return 0, false
}
