package peers

import (
	"time"

	rock "bramleyrock"
)

// Choose returns the name of the peer to which a request for the pool should be
// forwarded, or false if none is better than this entry. It is the peer with the
// smallest sum of predicted wait and round-trip time, if that sum is less than
// ownWait, the predicted wait at this entry. OwnWait is negative if this entry's
// zone has no hosts for the pool. Peers without open slots of the pool are not
// considered.
func Choose(pool string, ownWait time.Duration, alive []Info) (string, bool) {
	best := ""
	least := ownWait
	for _, info := range alive {
		l, ok := poolLoad(info.heartbeat, pool)
		if !ok || l.Slots() == 0 {
			continue
		}
		cost := l.Wait() + info.roundTrip
		if least < 0 || cost < least {
			best, least = info.member.Name(), cost
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
