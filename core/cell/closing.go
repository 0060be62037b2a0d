package cell

import (
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

// evacuate stops the persistent tasks on workers that are being drained, by this
// cell or by the platform, if they can be placed on other workers.
func (c *Cell) evacuate(now time.Time) {
	var usable []*worker
	for _, w := range c.workers {
		draining := w.registered && w.State == rock.WorkerDraining
		if !w.closing && !draining || w.unresponsive || w.gone {
			continue
		}
		for _, r := range w.runs {
			if r.task == nil || !r.task.step.Persistent || r.state != running {
				continue
			}
			if !draining && !c.mayInterrupt(r.task) {
				continue
			}
			if usable == nil {
				usable = c.usable(now)
			}
			if c.chooseWorker(now, r.task, usable) != nil {
				c.stopRun(r, "its worker is being drained")
			}
		}
	}
}

// mayInterrupt reports whether the task may be stopped while its job goes on,
// which holds while fewer than MaxUnavailable other tasks of its step are
// unavailable.
func (c *Cell) mayInterrupt(t *task) bool {
	unavailable := 0
	for _, o := range t.step.tasks {
		if o != t && !o.available() {
			unavailable++
		}
	}
	return unavailable < t.step.MaxUnavailable
}

// available reports whether the task is known to run, with all of its resources,
// on a worker that answers.
func (t *task) available() bool {
	r := t.current
	return r != nil && r.state == running && r.percent >= 100 && !r.worker.unresponsive && !r.worker.gone
}
