package peers

import (
	"time"

	rock "bramleyrock"
)

// Choose returns the name of the peer to which a request for the pool should
// be forwarded: the one whose predicted wait plus the way there is smallest,
// if that is less than the own predicted wait. A peer without open slots of
// the pool is no choice. OwnWait is negative if the own zone cannot serve the
// pool at all.
func Choose(pool string, ownWait time.Duration, alive []Info) (string, bool) {
	best := ""
	least := ownWait
	for _, s := range alive {
		l, ok := poolLoad(s.heartbeat, pool)
		if !ok || l.Slots() == 0 {
			continue
		}
		cost := l.Wait() + s.roundTrip
		if least < 0 || cost < least {
			best, least = s.member.Name(), cost
		}
	}
	return best, best != ""
}

func poolLoad(h rock.Heartbeat, pool string) (rock.PoolLoad, bool) {
	for _, l := range h.Pools() {
		if l.Pool() == pool {
			return l, true
		}
	}
	return rock.PoolLoad{}, false
}
