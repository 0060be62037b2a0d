package cell

import (
	"sync"
	"time"

	rock "bramleyrock"
)

// SetClosing sets the workers that are to be drained. They get no new tasks, and
// their persistent tasks move to other workers as far as [works.Step]'s
// MaxUnavailable allows.
func (c *Cell) SetClosing(closing map[string]bool) {
	for id, w := range c.workers {
		if w.closing != closing[id] {
			w.closing = closing[id]
			c.cancelPlacements(w)
			name := "worker reopened"
			if w.closing {
				name = "worker closing"
			}
			c.events = append(c.events, Event{Name: name, Worker: id})
		}
	}
}

// closingWorkerDelay is how long a task waits before it may also be placed on a worker
// that is being drained. It is a fraction of the 3 s for which a persistent task may be
// unavailable.
const closingWorkerDelay = 1200 * time.Millisecond

// mayUseClosing reports whether a task may be placed on a worker that is being
// drained. Any task may while most of the pool is free: the drain frees no capacity
// that is scarce then.
func (c *Cell) mayUseClosing(now time.Time, t *task) bool {
	if t.step.Persistent {
		return now.Sub(later(t.endedAt, t.step.job.addedAt)) > closingWorkerDelay
	}
	return c.mostlyFree && now.Sub(t.waitsSince(t.step.readySince())) > closingWorkerDelay
}

// avoidedWorkerDelay is how long a task waits before it may also be placed on a worker
// that is reserved for a persistent task, or ejected. An ordinary task makes room in less.
const avoidedWorkerDelay = 2 * time.Second

// mayUseAvoided reports whether a task may be placed on a worker that is reserved for a
// persistent task, or ejected.
func (c *Cell) mayUseAvoided(now time.Time, t *task) bool {
	return c.mostlyFree && now.Sub(t.waitsSince(t.step.readySince())) > avoidedWorkerDelay
}

// chooseAvoided returns the worker for a task that has waited for long, among those that
// are closing, reserved or ejected, or nil if there is none.
func (c *Cell) chooseAvoided(now time.Time, t *task) *worker {
	if c.mayUseAvoided(now, t) {
		avoided := c.avoidedWorkers(now)
		w, roomy := c.searchUnlessShort(now, t, avoided, &c.avoidedShortage, keepsNothing)
		if w != nil || !roomy {
			return w
		}
		return c.cheapestWorker(now, t, avoided, func(w *worker) bool { return c.mayTryEjected(now, t, w) })
	}
	if c.mayUseClosing(now, t) {
		return c.chooseWorker(now, t, c.closingWorkers(now))
	}
	return nil
}

// keepsNothing tells that no free resources of a worker are kept for another task.
func keepsNothing(rock.Resources, *worker) bool { return false }

// avoidedWorkers returns the workers on which a task that may use avoided ones may be placed.
func (c *Cell) avoidedWorkers(now time.Time) []*worker {
	if c.avoided == nil {
		c.avoided = append(c.usable(now), c.closingWorkers(now)...)
	}
	return c.avoided
}

// mayTryEjected reports whether a task that may use avoided workers may be placed on an
// ejected one: such a worker gets one task, or the tasks of one gang, at a time, and none whose
// failure would fail the job.
func (c *Cell) mayTryEjected(now time.Time, t *task, w *worker) bool {
	if !t.step.Persistent && len(t.failedRuns)+1 >= t.step.job.queue.Attempts {
		return false
	}
	if c.taskExclusion(now, t.step, t.step.Reservation(), w) != ExcludedTaskLimit {
		return false
	}
	others := w.countLimitedRuns()
	if t.step.Gang {
		others -= c.countStepRuns(w, t.step)
	}
	return others == 0
}

// closingWorkers returns the workers that are being drained.
func (c *Cell) closingWorkers(now time.Time) []*worker {
	var list []*worker
	for _, w := range c.workers {
		if w.closing && w.reachable(now) {
			list = append(list, w)
		}
	}
	return list
}

// updateMostlyFree records whether more than half of the registered workers' capacity
// is free, with that of workers that are being drained.
func (c *Cell) updateMostlyFree() {
	var used, all rock.Resources
	for _, w := range c.workers {
		if w.registered && !w.gone {
			used, all = used.Add(w.used), all.Add(w.Capacity)
		}
	}
	c.mostlyFree = 2*used.MilliCores < all.MilliCores && 2*used.MemoryMB < all.MemoryMB
}

// Occupancy is the load of a worker, which tells whether it is drained.
type Occupancy struct {
	Known  bool // the cell knows the worker
	Usable bool // the worker may be given new tasks
	// Runs is the number of runs, and of ends of runs whose jobs are not read yet.
	// The latter would be lost with the worker.
	Runs           int
	PersistentRuns int
}

// Occupancy returns the occupancy of a worker, or the zero value if the worker is
// unknown.
func (c *Cell) Occupancy(now time.Time, id string) Occupancy {
	w := c.workers[id]
	if w == nil {
		return Occupancy{}
	}
	o := Occupancy{Known: true, Usable: w.usable(now), Runs: len(w.runs) + len(w.deferredEnds)}
	for _, r := range w.runs {
		if r.task == nil || r.task.step.Persistent {
			o.PersistentRuns++
		}
	}
	return o
}

// takeDownPause is the least time between two take-downs of a worker if the first one
// ended because its time was over. It is longer than the time between decisions, so that
// a task that waits for the worker comes first.
const takeDownPause = 300 * time.Millisecond

// BeginTakeDown records that the host of a worker is about to be taken down. Until the
// given time or [Cell.EndTakeDown], the worker gets no tasks at all. It returns false, and
// records nothing, if the worker has got tasks since its occupancy was seen, or until
// takeDownPause after the time of an earlier take-down.
func (c *Cell) BeginTakeDown(now, until time.Time, id string, seen Occupancy) bool {
	w := c.workers[id]
	if w == nil || w.gone {
		return true
	}
	o := c.Occupancy(now, id)
	if o.Usable || o.Runs > seen.Runs || o.PersistentRuns > seen.PersistentRuns || now.Before(w.takenDownUntil.Add(takeDownPause)) {
		return false
	}
	w.takenDownUntil = until
	c.cancelPlacements(w)
	return true
}

// EndTakeDown records that the host of a worker is not taken down after all.
func (c *Cell) EndTakeDown(id string) {
	if w := c.workers[id]; w != nil {
		w.takenDownUntil = time.Time{}
	}
}

// evacuate stops the persistent tasks on workers that are being drained, by this
// cell or by the platform, if they can be placed on other workers. Workers that the
// platform drains come first: their tasks end soon in any case, and count as
// unavailable for those that may wait.
func (c *Cell) evacuate(now time.Time) {
	var leaving, closing []*worker
	for _, w := range c.workers {
		switch {
		case w.unresponsive || w.gone:
		case w.registered && w.State == rock.WorkerDraining:
			leaving = append(leaving, w)
		case w.closing:
			closing = append(closing, w)
		}
	}
	usable := sync.OnceValue(func() []*worker { return c.usable(now) })
	for _, w := range leaving {
		c.evacuateWorker(now, w, usable, func(*task) bool { return true })
	}
	for _, w := range closing {
		c.evacuateWorker(now, w, usable, func(t *task) bool { return mayInterrupt(now, t) })
	}
}

// evacuateWorker stops the persistent tasks on a worker that may be stopped and can be
// placed on one of the usable workers.
func (c *Cell) evacuateWorker(now time.Time, w *worker, usable func() []*worker, mayStop func(*task) bool) {
	for _, r := range w.runs {
		if r.task == nil || !r.task.step.Persistent || r.state != running || !mayStop(r.task) {
			continue
		}
		if s := r.task.step; s.job.queue.RequiresTicket {
			if c.mayAskAdviser(now, s) {
				c.adviseFor(now, s, 1, usable())
			}
			if !s.advice.valid(now) {
				continue
			}
		}
		if c.chooseWorker(now, r.task, usable()) != nil {
			c.stopRun(r, "its worker is being drained")
		}
	}
}

// mayInterrupt reports whether the task may be stopped while its job goes on,
// which holds while fewer than MaxUnavailable other tasks of its step are
// unavailable.
func mayInterrupt(now time.Time, t *task) bool {
	unavailable := 0
	for _, o := range t.step.tasks {
		if o != t && !o.available(now) {
			unavailable++
		}
	}
	return unavailable < t.step.MaxUnavailable
}

// available reports whether the task is known to run, with all of its resources, on a
// worker that answers. It may have ended since if the last report was made long ago: this
// process may have been paused.
func (t *task) available(now time.Time) bool {
	r := t.current
	return r != nil && r.state == running && r.percent >= 100 && !r.worker.unresponsive && !r.worker.gone &&
		now.Sub(r.worker.answeredAt) < maxReportAge
}
