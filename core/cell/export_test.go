package cell

import (
	"fmt"
	"slices"
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
	fmt.Fprintf(&b, "job state %s dirty %v remaining tasks %d unstored runs %d flushing %v\n", j.state, j.dirty.list(), j.remaining, len(c.unstoredRuns), c.flushing)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			fmt.Fprintf(&b, "task %s done %v failed runs %v current run %+v\n", t.key, t.done, t.failedRuns, t.current)
		}
	}
	for _, w := range c.workers {
		fmt.Fprintf(&b, "worker %s usable %v registered %v accepted fence %v has row %v lease end stored %v gone %v unresponsive %v closing %v used %v runs %d limit %d backoff %v answered %v ago\n",
			w.id(), w.usable(now), w.registered, w.acceptedFence, w.hasRow, w.leaseEndStored, w.gone, w.unresponsive, w.closing, w.used, len(w.runs),
			w.health.TaskLimit(now, noSlotLimit), w.backoffUntil.Sub(now), now.Sub(w.answeredAt))
	}
	return b.String()
}

// Reserved returns the steps for which workers are reserved, by the ID of the worker.
func (c *Cell) Reserved() map[string]string {
	steps := map[string]string{}
	for id, w := range c.workers {
		if c.isReserved(w) {
			s := w.reservation.step
			steps[id] = fmt.Sprintf("%s.%d.%d", s.job.ID, s.occurrence, s.number)
		}
	}
	return steps
}

// Avoids reports whether the cell gives a worker no tasks, or no more, for a reason of its own.
func (c *Cell) Avoids(now time.Time, id string) bool {
	w := c.workers[id]
	return w == nil || !w.usable(now) || w.atTaskLimit(now) || c.isReserved(w)
}

// AtTaskLimit reports whether the worker is ejected or returning, and has as many tasks as it may have.
func (c *Cell) AtTaskLimit(now time.Time, id string) bool {
	w := c.workers[id]
	return w == nil || w.atTaskLimit(now)
}

// HasRuns reports whether a task of the job has a run, which may be about to begin or to end.
func (c *Cell) HasRuns(id string) bool {
	j := c.jobs[id]
	return j != nil && slices.ContainsFunc(j.steps, func(s *step) bool { return s.hasRun() })
}

// MakeGone makes the cell believe that a worker is gone, and that its runs go on.
func (c *Cell) MakeGone(id string) { c.workers[id].gone = true }
