package resize

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pool is the state of a pool as its owner reports it. Its field names are part
// of a log message.
type Pool struct {
	Name string
	// Standby is true for the pool of hosts that are powered off.
	Standby bool
	// Want is the number of cores that the pool needs now. Keep is the number
	// that it should retain for demand that may return soon.
	Want float64
	Keep float64
	// Min is the number of hosts that the pool gets even if there are too few hosts
	// for all pools.
	Min int
	// HostCores is the number of cores of a host.
	HostCores float64
	// Hosts is the number of hosts that are in the pool or moving to it.
	Hosts int
	// Spare is the number of hosts that could leave the pool now.
	Spare int
	// Rest is the time since the pool's last surge or, if Surged is false, since
	// the pool was first observed: no surge is known then.
	Rest   time.Duration
	Surged bool
}

// Move is a number of hosts to move from one pool to another.
type Move struct {
	From  string
	To    string
	Count int
}

const (
	// MinHosts is the minimum number of hosts of a pool other than standby.
	MinHosts = 3
	// nextSurgeShare is the reserve of the pools that may surge next, taken
	// together, as a share of an even distribution of all hosts.
	// maxNextSurgeShare is the maximum for one of them. The first jobs of a
	// surge run on this reserve until more hosts arrive. Queues surge one after
	// the other, so the pool whose last surge is longest ago is expected to be
	// next. docs/design/platform.md compares the alternatives.
	nextSurgeShare    = 2.0
	maxNextSurgeShare = 0.7
	// baseShare is the minimum share of each of the other pools.
	baseShare = 0.2
	// surgeFreeShare is the minimum share of each pool while the site is free of
	// surges. Hosts on standby cost nothing, and the next surge finds them there.
	surgeFreeShare = 0.2
	// floorIncrement is the maximum number of hosts that one plan adds to a pool
	// only because it is below its floor. The platform takes 64 moves a second,
	// and the first surge after a pause needs most of them.
	floorIncrement = 2
	// standbySlack is the number of hosts beyond its need that a pool keeps
	// before it sends one to standby, so that hosts do not move back and forth.
	standbySlack = 1
)

// allocation is the minimum and the desired number of hosts of each pool.
type allocation struct {
	floor   map[string]int
	desired map[string]int
}

// hostsFor returns the number of hosts that the pool needs for that many cores,
// at least its floor. It is 0 for standby.
func (l *allocation) hostsFor(p Pool, cores float64) int {
	if p.Standby {
		return 0
	}
	return max(l.floor[p.Name], hosts(p, cores))
}

// hosts returns the number of hosts of the pool that have that many cores.
func hosts(p Pool, cores float64) int { return int(math.Ceil(cores / max(1, p.HostCores))) }

// surgeFree reports whether no pool has surged within surgeFreeTime.
func surgeFree(pools []Pool) bool {
	return !slices.ContainsFunc(pools, func(p Pool) bool { return !p.Standby && p.Rest <= surgeFreeTime })
}

// nextToSurge returns the pools that may surge next: those without a known surge
// or, if there are none, the one whose last surge is longest ago.
func nextToSurge(pools []Pool) map[string]bool {
	names := map[string]bool{}
	var longest Pool
	for _, p := range pools {
		switch {
		case p.Standby:
		case !p.Surged:
			names[p.Name] = true
		case longest.Name == "" || p.Rest > longest.Rest:
			longest = p
		}
	}
	if len(names) == 0 {
		names[longest.Name] = true
	}
	return names
}

// setFloors sets the minimum number of hosts of each pool. Even is the number of
// hosts of each pool if all hosts were distributed evenly.
func (l *allocation) setFloors(pools []Pool, even float64) {
	l.floor = map[string]int{}
	nexts := nextToSurge(pools)
	quiet := surgeFree(pools)
	for _, p := range pools {
		share := baseShare
		switch {
		case p.Standby:
			continue
		case quiet:
			share = surgeFreeShare
		case nexts[p.Name]:
			share = min(maxNextSurgeShare, nextSurgeShare/float64(len(nexts)))
		}
		l.floor[p.Name] = max(MinHosts, int(share*even), p.Min)
	}
}

// allocate returns how many hosts each pool should have: what it needs or, if the
// hosts do not suffice, its floor and a proportional share of the rest.
func allocate(pools []Pool) *allocation {
	total, active := 0, 0
	for _, p := range pools {
		total += p.Hosts
		if !p.Standby {
			active++
		}
	}
	l := &allocation{desired: map[string]int{}}
	l.setFloors(pools, float64(total)/float64(max(1, active)))
	need, floors := 0, 0
	for _, p := range pools {
		need += l.hostsFor(p, p.Want)
		floors += l.floor[p.Name]
	}
	for _, p := range pools {
		floor, n := l.floor[p.Name], l.hostsFor(p, p.Want)
		if need > total && !p.Standby {
			n = floor + max(0, total-floors)*(n-floor)/max(1, need-floors)
		}
		if n == floor {
			n = min(n, max(MinHosts, p.Hosts+floorIncrement))
		}
		l.desired[p.Name] = n
	}
	return l
}

// Plan returns the moves that give each pool the hosts that it needs, as far as
// other pools can spare them. Pools with the greatest shortfall are served first.
// Hosts on standby are used first, since they need no drain. Hosts that no pool
// needs go to standby.
//
// Pools that may surge next keep a larger reserve than the others. While the
// site is free of surges, the reserve of every pool is small.
func Plan(pools []Pool) []Move {
	order := slices.Clone(pools)
	l := allocate(order)
	excess := func(p Pool) int { return p.Hosts - l.desired[p.Name] }
	slices.SortFunc(order, func(a, b Pool) int {
		if n := excess(b) - excess(a); n != 0 {
			return n
		}
		return cmp.Compare(a.Name, b.Name)
	})
	available := map[string]int{}
	for _, p := range order {
		available[p.Name] = max(0, min(p.Spare, excess(p)))
	}
	var moves []Move
	for _, to := range slices.Backward(order) {
		shortfall := -excess(to)
		for _, standby := range []bool{true, false} {
			for _, from := range order {
				n := min(shortfall, available[from.Name])
				if from.Standby != standby || n <= 0 || from.Name == to.Name {
					continue
				}
				moves = append(moves, Move{from.Name, to.Name, n})
				available[from.Name] -= n
				shortfall -= n
			}
		}
	}
	return append(moves, l.moveToStandby(order, available)...)
}

// moveToStandby returns the moves to standby of available hosts that no pool
// needs or should retain.
func (l *allocation) moveToStandby(pools []Pool, available map[string]int) []Move {
	i := slices.IndexFunc(pools, func(p Pool) bool { return p.Standby })
	if i < 0 {
		return nil
	}
	var moves []Move
	for _, p := range pools {
		retained := max(0, l.hostsFor(p, p.Keep)-l.desired[p.Name])
		if n := available[p.Name] - retained - standbySlack; !p.Standby && n > 0 {
			moves = append(moves, Move{p.Name, pools[i].Name, n})
		}
	}
	return moves
}
