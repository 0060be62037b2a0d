package cell

import "time"

// Load is the load of a cell.
type Load struct {
	// WaitingJobs is the number of jobs of each queue that have not begun.
	WaitingJobs map[string]int
	// RemainingWork is the expected work that is left, in core-seconds, without tasks
	// that last.
	RemainingWork float64
	// Cores is the capacity of the usable workers.
	Cores float64
	// RequiredCores is the capacity that the cell needs, Keep that which it may need
	// again soon, in cores.
	RequiredCores float64
	RetainedCores float64
	// ArrivalRate is the mean rate at which work has arrived lately, in cores.
	ArrivalRate float64
}

// Load returns what the cell has to do and with what.
func (c *Cell) Load(now time.Time) Load {
	l := Load{WaitingJobs: map[string]int{}}
	var ready, lasting float64
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
				lasting += cores
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
	l.RequiredCores, l.RetainedCores = c.demand.Estimate(now, ready, lasting)
	l.ArrivalRate = c.demand.RecentRate(now)
	return l
}

// workDone returns the work that the step's running tasks have done, in
// core-seconds.
func (c *Cell) workDone(now time.Time, s *step, expected time.Duration) float64 {
	var d time.Duration
	for _, t := range s.tasks {
		if t.current != nil && !t.current.startedAt.IsZero() {
			d += min(expected, now.Sub(t.current.startedAt))
		}
	}
	return d.Seconds() * float64(s.Reservation().MilliCores) / 1000
}
