package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	rock "bramleyrock"
)

// Planner observes the pools and proposes moves. It is not safe for concurrent
// use.
type Planner struct {
	settings Settings
	demands  map[string]*Demand
	// gainSince holds, for each pair of pools between which a move is worth its
	// cost, the time since when it has been so without interruption.
	gainSince map[poolPair]time.Time
	// movedAt holds the time of the last move of each host.
	movedAt map[string]time.Time
}

// poolPair names the pool that loses a host and the pool that gets it.
type poolPair struct{ from, to string }

// New returns a planner without observations.
func New(s Settings) *Planner {
	return &Planner{
		settings:  s.withDefaults(),
		demands:   map[string]*Demand{},
		gainSince: map[poolPair]time.Time{},
		movedAt:   map[string]time.Time{},
	}
}

// Observe records a sample.
func (p *Planner) Observe(now time.Time, s Sample) {
	d, ok := p.demands[s.Pool]
	if !ok {
		d = &Demand{}
		p.demands[s.Pool] = d
	}
	unavailable := 0.0
	if s.Hosts > 0 {
		unavailable = float64(s.Unavailable) / float64(s.Hosts)
	}
	d.Observe(now, p.settings.HalfLife, s.Demand, unavailable)
}

// Demand returns the demand of the pool, and whether the pool was observed.
func (p *Planner) Demand(pool string) (*Demand, bool) {
	d, ok := p.demands[pool]
	return d, ok
}

// cost returns the cost of a pool of n hosts: its mean shortfall in slots and the
// weighted number of rounds of a maintenance wave over it.
func (p *Planner) cost(pool string, n int) float64 {
	d := p.demands[pool]
	if d == nil || n <= 0 {
		return math.Inf(1)
	}
	busy := math.Ceil(d.Mean() / float64(p.settings.SlotsPerHost))
	spare := max(float64(n)-busy, minSpare)
	return d.Shortfall(float64(n*p.settings.SlotsPerHost)) + p.settings.Weights.RollOut*float64(n)/spare
}

// minSpare replaces a lower number of spare hosts in the number of rounds of a
// wave, so that the cost of a pool without spare hosts is finite and grows with
// its size.
const minSpare = 0.25

// Moves returns the moves that have been worth their cost during the whole
// stabilisation window, the one with the greatest gain first. It must be called
// regularly: each call evaluates the moves, and the window of a move starts anew
// if the move is not worth its cost.
func (p *Planner) Moves(now time.Time, fleet rock.Fleet) []Move {
	pools := p.pools(fleet)
	all := p.gainfulMoves(now, fleet, pools)
	slices.SortFunc(all, func(a, b Move) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	var moves []Move
	used := map[string]bool{}
	for _, m := range all {
		if len(moves) == p.settings.MaxMoves || used[m.from] || used[m.to] || now.Sub(m.gainSince) < p.settings.StabilisationWindow {
			continue
		}
		if m.host = p.chooseHost(now, fleet, m.from, m.to); m.host == "" {
			continue
		}
		used[m.from], used[m.to] = true, true
		moves = append(moves, m)
	}
	return moves
}

// pools returns the pools of the fleet that were observed.
func (p *Planner) pools(fleet rock.Fleet) []string {
	var pools []string
	for _, r := range fleet.Records(rock.KindPool) {
		if d, ok := p.demands[r.Key().Name()]; ok && d.Observed() > 0 {
			pools = append(pools, r.Key().Name())
		}
	}
	return pools
}

// gainfulMoves returns a move, without its host, for each pair of pools between
// which a move is worth its cost. It resets the stabilisation window of all other
// pairs.
func (p *Planner) gainfulMoves(now time.Time, fleet rock.Fleet, pools []string) []Move {
	lossOf, gainOf := map[string]float64{}, map[string]float64{}
	for _, pool := range pools {
		n := len(fleet.PoolHosts(pool, ""))
		current := p.cost(pool, n)
		lossOf[pool] = p.cost(pool, n-1) - current
		gainOf[pool] = current - p.cost(pool, n+1)
	}
	gainSince := map[poolPair]time.Time{}
	var moves []Move
	for _, from := range pools {
		for _, to := range pools {
			gain := gainOf[to] - lossOf[from] - p.settings.Weights.Move
			if from == to || !(gain > 0) {
				continue
			}
			key := poolPair{from, to}
			gainSince[key] = now
			if at, ok := p.gainSince[key]; ok {
				gainSince[key] = at
			}
			moves = append(moves, Move{from: from, to: to, gain: gain, gainSince: gainSince[key]})
		}
	}
	p.gainSince = gainSince
	return moves
}

// RecordMove records that a host is being moved. It starts the cooldown of the host
// and restarts the stabilisation windows of all moves from or to its two pools.
func (p *Planner) RecordMove(now time.Time, m Move) {
	p.movedAt[m.host] = now
	for key := range p.gainSince {
		if key.from == m.from || key.to == m.to || key.from == m.to || key.to == m.from {
			delete(p.gainSince, key)
		}
	}
}

// chooseHost returns the best host to move between the pools, or "" if there is
// none. The host is open and past its cooldown, and in the zone in which the pool
// that loses it has the most hosts more than the pool that gets it.
func (p *Planner) chooseHost(now time.Time, fleet rock.Fleet, from, to string) string {
	best, bestScore := "", math.Inf(-1)
	for _, h := range fleet.PoolHosts(from, "") {
		if at, ok := p.movedAt[h.Name()]; !h.Open() || ok && now.Sub(at) < p.settings.Cooldown {
			continue
		}
		score := float64(len(fleet.PoolHosts(from, h.Zone())) - len(fleet.PoolHosts(to, h.Zone())))
		if score > bestScore {
			best, bestScore = h.Name(), score
		}
	}
	return best
}
