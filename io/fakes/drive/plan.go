package drive

import (
	"time"

	"bramleyrock/core/sched"
	"bramleyrock/core/trace"
)

// plan is an experiment in virtual time: entries of one zone that share the
// hosts of several pools.
type plan struct {
	seed     uint64
	pools    int
	hosts    int // per pool
	slots    int // per host
	entries  int
	service  time.Duration // mean of exponential run times
	even     bool          // run times are all the same
	timeout  time.Duration
	length   time.Duration
	settings sched.Settings
	// shared joins all pools into one.
	shared bool
	// blind entries do not know deadlines: late work waits and runs all the same.
	blind bool
	// counting entries count what they handed on, with the sharing owners.
	counting bool
	// sharing is how the entries share the hosts.
	sharing sharing
	// rate returns the arrivals a second.
	rate func(pool int, at time.Duration) float64
	// fails reports whether a host fails what it starts.
	fails func(host string, at time.Duration) bool
	// bad reports whether the n-th request of a pool fails wherever it runs.
	bad func(n int) bool
	// log takes the events of requests, if it is not nil.
	log *trace.Log
	// restart is when all entries are replaced by new ones, if it is not zero.
	restart time.Duration
	// watch is called at each look of an entry.
	watch func(now time.Time, s *sched.Scheduler)
	// cancelled reports whether the caller of the n-th request gives up, and
	// after what time.
	cancelled func(n int) (time.Duration, bool)
}

// today is a zone of today's size with two entries, and five pools of 24 slots
// at half and four fifths of what they can do.
func today(seed uint64, surge bool) plan {
	return plan{
		seed: seed, pools: 5, hosts: 3, slots: 8, entries: 2,
		service: 100 * time.Millisecond, timeout: 2 * time.Second, length: 25 * time.Second,
		rate: func(pool int, at time.Duration) float64 {
			if pool > 0 {
				return 0.8 * 240
			}
			switch mean := 0.5 * 240; {
			case surge && at >= 10*time.Second && at < 20*time.Second:
				return 5 * mean
			case surge && at >= 20*time.Second:
				return mean / 20
			default:
				return mean
			}
		},
	}
}

// with returns p with changed settings.
func (p plan) with(change func(s *sched.Settings)) plan {
	change(&p.settings)
	return p
}
