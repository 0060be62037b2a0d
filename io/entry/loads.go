package entry

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/plan"
)

// loads gives the capacity plan the load of all pools: the entry's own and what
// its peers said of theirs.
type loads struct {
	own   func(now time.Time) []rock.PoolLoad
	peers rock.PeerSet
	fleet rock.FleetSource
}

// Loads returns a sample of each pool that has hosts.
func (l loads) Loads(now time.Time) []plan.Sample {
	fleet, ok := l.fleet.Fleet()
	if !ok {
		return nil
	}
	demand := map[string]float64{}
	add := func(all []rock.PoolLoad) {
		for _, p := range all {
			demand[p.Pool()] += float64(p.InFlight() + p.Queued())
		}
	}
	add(l.own(now))
	for _, v := range l.peers.Alive(now) {
		add(v.Heartbeat().Pools())
	}
	var samples []plan.Sample
	for _, r := range fleet.Records(rock.KindPool) {
		s := plan.Sample{Pool: r.Key().Name(), Demand: demand[r.Key().Name()]}
		for _, h := range fleet.PoolHosts(s.Pool, "") {
			s.Hosts++
			if !h.Open() {
				s.Unavailable++
			}
		}
		if s.Hosts > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}
