package cell

import (
	"time"

	rock "bramleyrock"
)

// SetClosing names the workers that are to be emptied: they get no new work,
// and lasting tasks move away as far as their steps may miss them.
func (c *Cell) SetClosing(closing map[string]bool) {
	for id, w := range c.workers {
		if w.closing != closing[id] {
			w.closing = closing[id]
			c.cancelPlacements(w)
			what := "worker reopened"
			if w.closing {
				what = "worker closing"
			}
			c.events = append(c.events, Event{Name: what, Worker: id})
		}
	}
}

// Occupancy is what a worker has to do.
type Occupancy struct {
	Known  bool
	Usable bool
	// Runs is the number of runs, and of ends of jobs that are not known yet, which
	// would be lost with the worker.
	Runs           int
	PersistentRuns int
}

// Occupancy returns what a worker has to do.
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

// evacuate stops lasting tasks on workers that are to be emptied or that
// leave, where another worker has room for them.
func (c *Cell) evacuate(now time.Time) {
	var usable []*worker
	for _, w := range c.workers {
		leaving := w.registered && w.State == rock.WorkerDraining
		if !w.closing && !leaving || w.unresponsive || w.gone {
			continue
		}
		for _, r := range w.runs {
			if r.task == nil || !r.task.step.Persistent || r.state != running {
				continue
			}
			if !leaving && !c.mayInterrupt(r.task) {
				continue
			}
			if usable == nil {
				usable = c.usable(now)
			}
			if c.chooseWorker(now, r.task, usable) != nil {
				c.stopRun(r, "its worker is to be emptied")
			}
		}
	}
}

// mayInterrupt reports whether the task may be ended although its job goes on: no
// more of its step may be away than the job allows. A task that has not proved
// to be at work counts as away.
func (c *Cell) mayInterrupt(t *task) bool {
	away := 0
	for _, o := range t.step.tasks {
		if o != t && !o.available() {
			away++
		}
	}
	return away < t.step.MaxUnavailable
}

// available reports whether the task is known to be at work.
func (t *task) available() bool {
	r := t.current
	return r != nil && r.state == running && r.percent >= 100 && !r.worker.unresponsive && !r.worker.gone
}
