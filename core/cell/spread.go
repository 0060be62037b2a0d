package cell

import "time"

// strandedDelay is how long a task may wait for room on the hosts of the pool before
// another host is required. It is longer than an ordinary task takes to make room.
const strandedDelay = 2 * time.Second

// minHosts returns the number of hosts that the cell needs so that every task finds a
// single worker for it, and their capacity in cores. The sum of the tasks' needs does not
// tell: a worker may run only some tasks of a step, and the free resources of several
// workers may be too small for a task on each of them. The second case is checked only if
// required is less than one host more than the pool has.
func (c *Cell) minHosts(now time.Time, required float64) (hosts int, cores float64) {
	open := 0
	for _, w := range c.workers {
		if w.registered && !w.gone && !w.closing {
			open++
			cores += float64(w.Capacity.MilliCores) / 1000
		}
	}
	if open == 0 {
		return 0, 0
	}
	mean := cores / float64(open)
	hosts = c.spreadHosts(now)
	if hosts <= open && required < mean*float64(open+1) && c.hasStrandedTask(now) {
		hosts = open + 1
	}
	return hosts, mean * float64(hosts)
}

// spreadHosts returns on how many hosts the tasks of a step must be, because a worker can or
// may run only some of them at the same time: those of a persistent step, and of a gang. A
// gang for which all hosts would not do is left out.
func (c *Cell) spreadHosts(now time.Time) int {
	hosts := 0
	for _, j := range c.jobs {
		if j.state.Ended() {
			continue
		}
		for _, s := range j.steps {
			if s.Persistent && s.MaxPerWorker > 0 && s.mayStart(now) && c.canRunOnSomeWorker(s) {
				hosts = max(hosts, (s.remaining+s.MaxPerWorker-1)/s.MaxPerWorker)
			}
			if s.Gang && s.remaining > 0 && s.mayStart(now) {
				if n := c.gangHosts(s); n <= c.hostTotal {
					hosts = max(hosts, n)
				}
			}
		}
	}
	return hosts
}

// gangHosts returns on how many hosts like the largest of the pool a gang can run, or 0 if no
// worker can run one of its tasks.
func (c *Cell) gangHosts(s *step) int {
	most := 0
	for _, w := range c.workers {
		if w.registered && !w.gone && w.mayEverRun(s) {
			most = max(most, w.Capacity.Count(s.Reservation(), s.Count))
		}
	}
	if s.MaxPerWorker > 0 {
		most = min(most, s.MaxPerWorker)
	}
	if most == 0 {
		return 0
	}
	return (s.Count + most - 1) / most
}

// SetHostTotal sets the number of hosts of all pools, which bounds the hosts that a gang is
// given. Without it, a gang gets no hosts beyond those that the sum of its needs asks for.
func (c *Cell) SetHostTotal(hosts int) { c.hostTotal = hosts }

// canRunOnSomeWorker reports whether a task of the step could run on a worker of the
// pool if nothing else ran there.
func (c *Cell) canRunOnSomeWorker(s *step) bool {
	for _, w := range c.workers {
		if w.registered && !w.gone && w.mayEverRun(s) {
			return true
		}
	}
	return false
}

// mayEverRun reports whether a task of the step could run on the worker if nothing else
// ran there.
func (w *worker) mayEverRun(s *step) bool {
	return w.hasLabel(s.Label) && w.Capacity.CanFit(s.Reservation())
}

// hasStrandedTask reports whether a task has waited for long and no worker that stays
// in the pool has room for it.
func (c *Cell) hasStrandedTask(now time.Time) bool {
	for _, j := range c.jobs {
		if j.state.Ended() {
			continue
		}
		for _, s := range j.steps {
			if s.remaining > 0 && s.mayStart(now) && s.waitedFor(now) > strandedDelay && c.canRunOnSomeWorker(s) && !c.hasRoom(now, s) {
				return true
			}
		}
	}
	return false
}

// waitedFor returns for how long the tasks of a step that may start have waited to be
// placed: the longest of them, or 0 if none waits.
func (s *step) waitedFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	ready := s.readySince()
	for _, t := range s.tasks {
		if !t.done && t.current == nil {
			longest = max(longest, now.Sub(t.waitsSince(ready)))
		}
	}
	return longest
}

// hasRoom reports whether a worker that answers and stays in the pool has room for a task
// of the step.
func (c *Cell) hasRoom(now time.Time, s *step) bool {
	need := s.Reservation()
	for _, w := range c.workers {
		if w.inService() && !w.closing && w.hasLabel(s.Label) && w.freeResources().CanFit(need) && !w.atTaskLimit(now) &&
			(s.MaxPerWorker == 0 || c.countStepRuns(w, s) < s.MaxPerWorker) {
			return true
		}
	}
	return false
}
