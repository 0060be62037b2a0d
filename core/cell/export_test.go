package cell

import (
	"fmt"
	"strings"
	"time"
)

// Describe returns the state of a job and of all workers, for failed tests.
func (c *Cell) Describe(now time.Time, id string) string {
	var b strings.Builder
	j := c.jobs[id]
	if j == nil {
		return "the job is not known"
	}
	fmt.Fprintf(&b, "job state %s dirty %v left %d placed %d flushing %v\n", j.state, j.dirty, j.remaining, len(c.unstoredRuns), c.flushing)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			fmt.Fprintf(&b, "task %s done %v failed %v current %+v\n", t.key, t.done, t.failedRuns, t.current)
		}
	}
	for _, w := range c.workers {
		fmt.Fprintf(&b, "worker %s usable %v listed %v fenced %v recorded %v bound %v gone %v silent %v closing %v used %v runs %d limit %d rest %v answered %v\n",
			w.id(), w.usable(now), w.registered, w.acceptedFence, w.hasRow, w.leaseEndStored, w.gone, w.unresponsive, w.closing, w.used, len(w.runs),
			w.health.TaskLimit(now, noSlotLimit), w.backoffUntil.Sub(now), now.Sub(w.answeredAt))
	}
	return b.String()
}
