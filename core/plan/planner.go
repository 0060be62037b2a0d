package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	rock "bramleyrock"
)

// Planner watches the pools and proposes moves. It is not safe for concurrent
// use.
type Planner struct {
	set     Settings
	demands map[string]*Demand
	// since is when a host was first worth more in the second pool than in
	// the first, and has been ever since.
	since map[pair]time.Time
	moved map[string]time.Time
}

// pair is two pools, one to take a host from and one to give it to.
type pair struct{ from, to string }

// New returns a planner that has seen nothing.
func New(s Settings) *Planner {
	return &Planner{
		set:     s.withDefaults(),
		demands: map[string]*Demand{},
		since:   map[pair]time.Time{},
		moved:   map[string]time.Time{},
	}
}

// Observe notes a sample.
func (p *Planner) Observe(now time.Time, s Sample) {
	d, ok := p.demands[s.Pool]
	if !ok {
		d = &Demand{}
		p.demands[s.Pool] = d
	}
	away := 0.0
	if s.Hosts > 0 {
		away = float64(s.Unavailable) / float64(s.Hosts)
	}
	d.Observe(now, p.set.HalfLife, s.Demand, away)
}

// Demand returns what was seen of the pool, and whether anything was.
func (p *Planner) Demand(pool string) (*Demand, bool) {
	d, ok := p.demands[pool]
	return d, ok
}

// cost returns what a pool of n hosts costs: the slots that it lacks, and the
// rounds of a wave over it.
func (p *Planner) cost(pool string, n int) float64 {
	d := p.demands[pool]
	if d == nil || n <= 0 {
		return math.Inf(1)
	}
	busy := math.Ceil(d.Mean() / float64(p.set.SlotsPerHost))
	spare := max(float64(n)-busy, spareFloor)
	return d.Shortfall(float64(n*p.set.SlotsPerHost)) + p.set.Weights.RollOut*float64(n)/spare
}

// spareFloor stands for no spare host in the number of rounds of a wave, so
// that a pool without spare hosts costs more the larger it is.
const spareFloor = 0.25

// Moves returns the moves that are worth their price and have been for the
// whole hold time, the best first. It must be called regularly, since a look
// at which a move is not worth its price starts its hold time anew.
func (p *Planner) Moves(now time.Time, fleet rock.Fleet) []Move {
	pools := p.pools(fleet)
	all := p.gains(now, fleet, pools)
	slices.SortFunc(all, func(a, b Move) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	var moves []Move
	used := map[string]bool{}
	for _, m := range all {
		if len(moves) == p.set.MaxMoves || used[m.from] || used[m.to] || now.Sub(m.since) < p.set.StabilisationWindow {
			continue
		}
		if m.host = p.pick(now, fleet, m.from, m.to); m.host == "" {
			continue
		}
		used[m.from], used[m.to] = true, true
		moves = append(moves, m)
	}
	return moves
}

// pools returns the pools that were seen.
func (p *Planner) pools(fleet rock.Fleet) []string {
	var pools []string
	for _, r := range fleet.Records(rock.KindPool) {
		if d, ok := p.demands[r.Key().Name()]; ok && d.Observed() > 0 {
			pools = append(pools, r.Key().Name())
		}
	}
	return pools
}

// gains returns the pairs of pools between which a move is worth its price,
// and forgets since when for all others.
func (p *Planner) gains(now time.Time, fleet rock.Fleet, pools []string) []Move {
	lose, win := map[string]float64{}, map[string]float64{}
	for _, pool := range pools {
		n := len(fleet.PoolHosts(pool, ""))
		here := p.cost(pool, n)
		lose[pool] = p.cost(pool, n-1) - here
		win[pool] = here - p.cost(pool, n+1)
	}
	since := map[pair]time.Time{}
	var moves []Move
	for _, from := range pools {
		for _, to := range pools {
			gain := win[to] - lose[from] - p.set.Weights.Move
			if from == to || !(gain > 0) {
				continue
			}
			key := pair{from, to}
			since[key] = now
			if at, ok := p.since[key]; ok {
				since[key] = at
			}
			moves = append(moves, Move{from: from, to: to, gain: gain, since: since[key]})
		}
	}
	p.since = since
	return moves
}

// RecordMove notes that a host is being moved, so that it rests afterwards and the
// hold times of its pools begin anew.
func (p *Planner) RecordMove(now time.Time, m Move) {
	p.moved[m.host] = now
	for key := range p.since {
		if key.from == m.from || key.to == m.to || key.from == m.to || key.to == m.from {
			delete(p.since, key)
		}
	}
}

// pick returns the host of the pool that is best given away: open, rested, and
// of the zone in which the other pool has the fewest hosts for what this pool
// has there.
func (p *Planner) pick(now time.Time, fleet rock.Fleet, from, to string) string {
	best, bestScore := "", math.Inf(-1)
	for _, h := range fleet.PoolHosts(from, "") {
		if at, ok := p.moved[h.Name()]; !h.Open() || ok && now.Sub(at) < p.set.Cooldown {
			continue
		}
		score := float64(len(fleet.PoolHosts(from, h.Zone())) - len(fleet.PoolHosts(to, h.Zone())))
		if score > bestScore {
			best, bestScore = h.Name(), score
		}
	}
	return best
}
