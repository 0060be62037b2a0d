package sched

import (
	"time"

	rock "bramleyrock"
)

// Choose reserves a slot of the pool for work that does not wait in a queue, such
// as a long-running job; see [rock.Placer].
func (s *Scheduler) Choose(now time.Time, pool string, avoid []string) (rock.Host, error) {
	return s.placer.Choose(now, pool, avoid)
}

// Done releases a slot that was reserved by [Scheduler.Choose].
func (s *Scheduler) Done(now time.Time, host string, took time.Duration, err error) {
	s.placer.Done(now, host, took, err)
}
