package duty_test

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/core/wave"
)

// deployment describes the fleet of one deployment.
type deployment struct {
	zones int
	pools []string
}

var deployments = map[string]deployment{
	"zarqa":    {3, []string{"alpha", "beta", "gamma", "delta", "tooling"}},
	"blespind": {4, []string{"rounds", "bookings", "bundles", "billing", "office"}},
}

const (
	fleetHosts   = 52
	hostsPerRack = 4
	// taskTime is the longest run time of a task.
	taskTime   = 30 * time.Second
	rebootTime = 180 * time.Second
)

// records returns a fleet of 52 hosts, four per rack, distributed over the pools,
// each pool with a budget of 80% of its hosts, and a wave over all pools.
func (d deployment) records(maxParallel int) []rock.Record { return d.fleet(fleetHosts, maxParallel) }

// small returns a fleet of n hosts and a wave over all of them, any number of
// which may be away at once within the budgets.
func (d deployment) small(n int) []rock.Record { return d.fleet(n, n) }

func (d deployment) fleet(hosts, maxParallel int) []rock.Record {
	var records []rock.Record
	for _, p := range d.pools {
		records = append(records,
			newRecord(rock.KindPool, p, `{"organisation":"alpha","spare":false}`),
			rock.NewRecord(rock.NewKey(rock.KindBudget, p), 2, 0, fmt.Appendf(nil, `{"pool":%q,"min_available":{"share":0.8}}`, p)))
	}
	for i := range hosts {
		rack := i / hostsPerRack
		zone := string(rune('a' + rack%d.zones))
		records = append(records, newHost(fmt.Sprintf("h%02d", i), zone, fmt.Sprintf("%s%d", zone, rack), d.pools[i%len(d.pools)]))
	}
	pools := "\"" + d.pools[0] + "\""
	for _, p := range d.pools[1:] {
		pools += ",\"" + p + "\""
	}
	return append(records, newRecord(rock.KindWave, "w1",
		fmt.Sprintf(`{"pools":[%s],"action":"reboot","state":"running","max_parallel":%d}`, pools, maxParallel)))
}

// waveSimulation is a simulation in which a wave runs.
type waveSimulation struct {
	*simulation
	pools []string
	// closedAt holds the time at which each host was closed, and drains how long
	// its tasks ran after that.
	closedAt        map[string]time.Time
	drains          map[string]time.Duration
	budgetViolation string
}

func newWaveSimulation(d deployment, o simulationOptions) *waveSimulation {
	s := &waveSimulation{newSimulation(o), d.pools, map[string]time.Time{}, map[string]time.Duration{}, ""}
	s.reportPromptly = true
	for i := range d.zones {
		zone := string(rune('a' + i))
		for j := range 2 {
			s.addEntry(fmt.Sprintf("%s%d", zone, j), zone, fmt.Sprintf("10.0.%d.%d:7000", i, j))
		}
	}
	for _, e := range s.entries {
		e.Poll(s.now)
		e.Report(s.now)
		e.Poll(s.now)
	}
	return s
}

// runTasks lets entries place tasks at random and finish those whose run time is
// over.
func (s *waveSimulation) runTasks() {
	for _, e := range s.entries {
		if s.random.IntN(2) == 0 && e.Choose(s.now, s.pools[s.random.IntN(len(s.pools))]) {
			e.Send(s.now)
		}
		e.FinishDue(s.now)
	}
}

// checkBudgets records how long hosts take to drain, and the first violation of a
// pool's budget.
func (s *waveSimulation) checkBudgets() {
	f, _ := s.book.Fleet()
	for _, p := range s.pools {
		hosts := f.PoolHosts(p, "")
		open := 0
		for _, h := range hosts {
			if h.Open() {
				open++
				delete(s.closedAt, h.Name())
				continue
			}
			s.recordDrain(h.Name())
		}
		if need := record.ShareLimit(0.8).MinHosts(len(hosts)); open < need && s.budgetViolation == "" {
			s.budgetViolation = fmt.Sprintf("pool %s had %d of %d hosts open, needs %d", p, open, len(hosts), need)
		}
	}
}

func (s *waveSimulation) recordDrain(host string) {
	at, ok := s.closedAt[host]
	if !ok {
		at = s.now
		s.closedAt[host] = at
		s.drains[host] = 0
	}
	if s.floor.Leases(host) > 0 {
		s.drains[host] = s.now.Sub(at) + tick
	}
}

func (s *waveSimulation) progress() wave.Progress {
	f, _ := s.book.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindWave, "w1"))
	p, _ := wave.ProgressOf(f, nil, r)
	return p
}

func (s *waveSimulation) state() record.WaveState {
	f, _ := s.book.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindWave, "w1"))
	w, _ := record.WaveSpecOf(r)
	return w.State
}

// run advances the simulation until the wave is in the state or the limit has
// passed, and returns how long that took. It calls during, if not nil, at each tick.
func (s *waveSimulation) run(state record.WaveState, limit time.Duration, during func()) time.Duration {
	begin := s.now
	for s.state() != state && s.now.Sub(begin) < limit {
		if during != nil {
			during()
		}
		s.runTasks()
		s.advance()
		s.checkBudgets()
	}
	return s.now.Sub(begin)
}

// bound returns a lower bound of the roll-out time under the budgets and the drain
// and reboot times. A pool that can spare r hosts at once is like r processors
// that share its n hosts, so that one of them handles at least n/r hosts, and these
// take no less time than the n/r shortest.
func (s *waveSimulation) bound() time.Duration {
	f, _ := s.book.Fleet()
	var longest time.Duration
	for _, p := range s.pools {
		hosts := f.PoolHosts(p, "")
		spare := len(hosts) - record.ShareLimit(0.8).MinHosts(len(hosts))
		var times []time.Duration
		var sum, shortest time.Duration
		for _, h := range hosts {
			times = append(times, s.drains[h.Name()]+rebootTime)
			sum += s.drains[h.Name()] + rebootTime
		}
		slices.Sort(times)
		for _, d := range times[:(len(times)+spare-1)/spare] {
			shortest += d
		}
		longest = max(longest, sum/time.Duration(spare), shortest)
	}
	return longest
}

// check describes the first violation by the wave, or returns "".
func (s *waveSimulation) check() string {
	if s.cutTasks > 0 {
		return fmt.Sprintf("restarts interrupted %d tasks", s.cutTasks)
	}
	if s.budgetViolation != "" {
		return s.budgetViolation
	}
	for _, h := range s.hosts() {
		if n := s.reboots[h.Name()]; n != 1 {
			return fmt.Sprintf("host %s was restarted %d times", h.Name(), n)
		}
	}
	return ""
}
