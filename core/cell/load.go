package cell

import "time"

// Load is the load of a cell.
type Load struct {
	// WaitingJobs is the number of jobs of each queue that have not started.
	WaitingJobs map[string]int
	// RemainingWork is the expected remaining work in core-seconds, without
	// persistent tasks.
	RemainingWork float64
	// Cores is the capacity of the usable workers in cores.
	Cores float64
	// RequiredCores is the capacity that the cell needs now, and RetainedCores the
	// capacity that it should keep because it may soon need it, both in cores.
	RequiredCores float64
	RetainedCores float64
	// MinHosts is the number of hosts that other cells with more work must not take away:
	// with fewer, some tasks could not run although resources are free. It is 0 if the
	// sum of the tasks' needs tells how many hosts the cell needs.
	MinHosts int
	// HeldBytes is the memory of the unfinished jobs in bytes; see [Footprint].
	HeldBytes int64
	// ArrivalRate is the recent mean arrival rate of work, in core-seconds per
	// second.
	ArrivalRate float64
}

// Load returns the cell's load.
func (c *Cell) Load(now time.Time) Load {
	l := Load{WaitingJobs: map[string]int{}, HeldBytes: c.heldBytes()}
	var ready, persistent float64
	for _, j := range c.jobs {
		if j.state.Ended() {
			continue
		}
		if !j.started && j.Spec.Times == 0 {
			l.WaitingJobs[j.Queue]++
		}
		for _, s := range j.steps {
			cores := float64(s.remaining) * float64(s.Reservation().MilliCores) / 1000
			if s.Persistent {
				persistent += cores
				continue
			}
			if s.remaining == 0 {
				continue
			}
			expected := c.expectedRunTime(s)
			work := cores*expected.Seconds() - c.workDone(now, s, expected)
			l.RemainingWork += work
			if s.mayStart(now) {
				ready += work
			}
		}
	}
	l.Cores = c.usableCores(now)
	l.RequiredCores, l.RetainedCores = c.demand.Estimate(now, ready, persistent)
	var cores float64
	l.MinHosts, cores = c.minHosts(now, l.RequiredCores)
	l.RequiredCores, l.RetainedCores = max(l.RequiredCores, cores), max(l.RetainedCores, cores)
	l.ArrivalRate = c.demand.RecentRate(now)
	return l
}

// workDone returns the work that the running tasks of a step have done, in
// core-seconds. A task counts for at most its expected run time.
func (c *Cell) workDone(now time.Time, s *step, expected time.Duration) float64 {
	var d time.Duration
	for _, t := range s.tasks {
		if t.current != nil && !t.current.startedAt.IsZero() {
			d += min(expected, now.Sub(t.current.startedAt))
		}
	}
	return d.Seconds() * float64(s.Reservation().MilliCores) / 1000
}
