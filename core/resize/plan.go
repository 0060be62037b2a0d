package resize

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pool is what is known of a pool.
type Pool struct {
	Name string
	// Standby is true if the pool's hosts are off.
	Standby bool
	// Want is the number of cores that the pool needs now, Keep the number
	// that it may need again soon.
	Want float64
	Keep float64
	// HostCores is the number of cores of a host.
	HostCores float64
	// Hosts is the number of hosts that are in the pool or on their way.
	Hosts int
	// Spare is the number of hosts that could leave now.
	Spare int
	// Rest is how long ago the pool's last surge was, or how long the pool is
	// known if Surged is false: no surge is known then.
	Rest   time.Duration
	Surged bool
}

// Move is a number of hosts that go from one pool to another.
type Move struct {
	From  string
	To    string
	Count int
}

const (
	// MinHosts is the least number of hosts of a pool that is not on standby.
	MinHosts = 3
	// nextShare is the share of an even distribution of all hosts that the pools
	// which may surge next keep together, and maxNextShare what one of them keeps at
	// most: the first jobs of a surge run there until hosts have moved. The
	// queues surge by turns, so the next is the one whose last surge is longest
	// ago. Figures of the ways tried are in docs/design/platform.md.
	nextShare    = 2.0
	maxNextShare = 0.7
	// restShare is what each of the other pools keeps at least.
	restShare = 0.2
	// calmShare is what each pool keeps at least while the site is calm: hosts on
	// standby cost nothing, and a surge that begins finds them there.
	calmShare = 0.2
	// floorStep is how many hosts a pool gets in one plan because it is below its
	// floor. The platform takes 64 moves a second, and a surge that ends the calm
	// needs most of them.
	floorStep = 2
	// slack is how many hosts more than it needs a pool keeps before it sends
	// one to standby, so that hosts do not go to and fro.
	slack = 1
)

// plan is the pools with the hosts that each should have.
type plan struct {
	floor  map[string]int
	target map[string]int
}

// hostsFor returns the number of hosts that give the pool that many cores.
func (l *plan) hostsFor(p Pool, cores float64) int {
	if p.Standby {
		return 0
	}
	return max(l.floor[p.Name], int(math.Ceil(cores/max(1, p.HostCores))))
}

// calm reports whether no pool has had a surge for a while.
func calm(pools []Pool) bool {
	return !slices.ContainsFunc(pools, func(p Pool) bool { return !p.Standby && p.Rest <= calmTime })
}

// next returns the pools that may surge next: those of which no surge is known, or
// else the one whose last surge is longest ago.
func next(pools []Pool) map[string]bool {
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

// setFloors sets the least number of hosts of each pool, of which each would have
// even if all had the same.
func (l *plan) setFloors(pools []Pool, even float64) {
	l.floor = map[string]int{}
	nexts := next(pools)
	still := calm(pools)
	for _, p := range pools {
		share := restShare
		switch {
		case p.Standby:
			continue
		case still:
			share = calmShare
		case nexts[p.Name]:
			share = min(maxNextShare, nextShare/float64(len(nexts)))
		}
		l.floor[p.Name] = max(MinHosts, int(share*even))
	}
}

// targets returns how many hosts each pool should have: what it needs, or a
// share of what there is in proportion to it.
func targets(pools []Pool) *plan {
	total, active := 0, 0
	for _, p := range pools {
		total += p.Hosts
		if !p.Standby {
			active++
		}
	}
	l := &plan{target: map[string]int{}}
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
			n = min(n, max(MinHosts, p.Hosts+floorStep))
		}
		l.target[p.Name] = n
	}
	return l
}

// Plan returns the moves that bring each pool what it needs, as far as the
// others can spare it. Pools with the greatest lack go first. Hosts on standby
// are used first, because they need not be emptied. Pools that may surge next keep
// more hosts than others, and while the site is calm all keep few.
func Plan(pools []Pool) []Move {
	order := slices.Clone(pools)
	l := targets(order)
	excess := func(p Pool) int { return p.Hosts - l.target[p.Name] }
	slices.SortFunc(order, func(a, b Pool) int {
		if n := excess(b) - excess(a); n != 0 {
			return n
		}
		return cmp.Compare(a.Name, b.Name)
	})
	left := map[string]int{}
	for _, p := range order {
		left[p.Name] = max(0, min(p.Spare, excess(p)))
	}
	var moves []Move
	for _, to := range slices.Backward(order) {
		lack := -excess(to)
		for _, standby := range []bool{true, false} {
			for _, from := range order {
				n := min(lack, left[from.Name])
				if from.Standby != standby || n <= 0 || from.Name == to.Name {
					continue
				}
				moves = append(moves, Move{from.Name, to.Name, n})
				left[from.Name] -= n
				lack -= n
			}
		}
	}
	return append(moves, l.park(order, left)...)
}

// park returns the moves of hosts that nobody needs to a standby pool.
func (l *plan) park(pools []Pool, left map[string]int) []Move {
	i := slices.IndexFunc(pools, func(p Pool) bool { return p.Standby })
	if i < 0 {
		return nil
	}
	var moves []Move
	for _, p := range pools {
		keep := max(0, l.hostsFor(p, p.Keep)-l.target[p.Name])
		if n := left[p.Name] - keep - slack; !p.Standby && n > 0 {
			moves = append(moves, Move{p.Name, pools[i].Name, n})
		}
	}
	return moves
}
