package entry

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/plan"
)

// loadSource implements duty.LoadSource: it sums the load of this entry and the
// loads that its peers reported in their heartbeats.
type loadSource struct {
	ownLoads func(now time.Time) []rock.PoolLoad
	peers    rock.PeerSet
	fleet    rock.FleetSource
}

// Loads returns a sample of each pool that has hosts, or nil while no
// configuration is known. Demand counts the requests in flight and queued.
func (s loadSource) Loads(now time.Time) []plan.Sample {
	fleet, ok := s.fleet.Fleet()
	if !ok {
		return nil
	}
	demand := map[string]float64{}
	add := func(pools []rock.PoolLoad) {
		for _, p := range pools {
			demand[p.Pool()] += float64(p.InFlight() + p.Queued())
		}
	}
	add(s.ownLoads(now))
	for _, peer := range s.peers.Alive(now) {
		add(peer.Heartbeat().Pools())
	}
	var samples []plan.Sample
	for _, r := range fleet.Records(rock.KindPool) {
		sample := plan.Sample{Pool: r.Key().Name(), Demand: demand[r.Key().Name()]}
		for _, h := range fleet.PoolHosts(sample.Pool, "") {
			sample.Hosts++
			if !h.Open() {
				sample.Unavailable++
			}
		}
		if sample.Hosts > 0 {
			samples = append(samples, sample)
		}
	}
	return samples
}
