package resize

import (
	"cmp"
	"math"
	"slices"
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
	// floorShare is the share of an even distribution of all hosts that a pool
	// keeps at least: the first jobs of its surge run there until hosts have
	// moved. Figures of the ways tried are in docs/design/platform.md.
	floorShare = 0.55
	// calmShare takes the place of floorShare while the site is calm: hosts on
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
	floor  int
	target map[string]int
}

// hostsFor returns the number of hosts that give the pool that many cores.
func (l *plan) hostsFor(p Pool, cores float64) int {
	if p.Standby {
		return 0
	}
	return max(l.floor, int(math.Ceil(cores/max(1, p.HostCores))))
}

// targets returns how many hosts each pool should have: what it needs, or a
// share of what there is in proportion to it.
func targets(pools []Pool, calm bool) *plan {
	total, active := 0, 0
	for _, p := range pools {
		total += p.Hosts
		if !p.Standby {
			active++
		}
	}
	l := &plan{target: map[string]int{}}
	share := floorShare
	if calm {
		share = calmShare
	}
	l.floor = max(MinHosts, int(share*float64(total)/float64(max(1, active))))
	need := 0
	for _, p := range pools {
		need += l.hostsFor(p, p.Want)
	}
	floor := l.floor * active
	for _, p := range pools {
		n := l.hostsFor(p, p.Want)
		if need > total && !p.Standby {
			n = l.floor + max(0, total-floor)*(n-l.floor)/max(1, need-floor)
		}
		if n == l.floor {
			n = min(n, max(MinHosts, p.Hosts+floorStep))
		}
		l.target[p.Name] = n
	}
	return l
}

// Plan returns the moves that bring each pool what it needs, as far as the
// others can spare it. Pools with the greatest lack go first. Hosts on standby
// are used first, because they need not be emptied. While the site is calm,
// pools keep fewer hosts.
func Plan(pools []Pool, calm bool) []Move {
	order := slices.Clone(pools)
	l := targets(order, calm)
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
