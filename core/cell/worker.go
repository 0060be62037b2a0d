package cell

import (
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
)

// worker is what the cell knows of a worker.
type worker struct {
	rock.Worker
	// listed is true while the worker is registered.
	listed bool
	// fenced is true once the worker answered under the cell's fence.
	fenced bool
	// gone is true once another life answered in its place.
	gone bool
	// clockAt is when the reading of Clock arrived.
	clock   time.Duration
	clockAt time.Time
	// maxUntil is the latest end of a lease that was sent, on its clock.
	maxUntil time.Duration
	// answeredAt is when the worker last answered, silent whether the last
	// order had no answer.
	answeredAt time.Time
	silent     bool
	// unsure is true after an unanswered order until the worker's next report:
	// it may have restarted, and its ends are numbered anew then.
	unsure bool
	// unansweredAt is when the last order without an answer was sent.
	unansweredAt time.Time
	restUntil    time.Time
	// closing is true while the worker is to be emptied.
	closing bool
	used    rock.Resources
	runs    map[runKey]*run
	// recorded is true once a row tells that the cell orders the worker.
	recorded bool
	// copies is true while that row is to be written again as it is.
	copies bool
	// boundStored is true while that row holds the end of the worker's lease,
	// which must not be extended then.
	boundStored bool
	// formerUntil is when every lease that a former owner gave has passed.
	formerUntil time.Time
	// handled is the last end that was taken in, stored the last that needs
	// no more writes.
	handled int64
	stored  int64
	// withheld holds ends that were taken in of jobs that are not known yet.
	withheld []rock.End
	born     time.Time
	health   *eject.HostHealth
	rack     string
	pace     pace
	// slowFill is by how many percent the filling tasks are slowed down.
	slowFill  int
	steeredAt time.Time
}

func (w *worker) id() string { return w.ID }

// settled returns the last end up to which all belong to known jobs.
func (w *worker) settled() int64 {
	if len(w.withheld) > 0 {
		return min(w.handled, w.withheld[0].Number-1)
	}
	return w.handled
}

// until returns the end of a lease of length hold on the worker's clock.
func (w *worker) until(now time.Time, hold time.Duration) time.Duration {
	u := w.clock + now.Sub(w.clockAt) + hold
	w.maxUntil = max(w.maxUntil, u)
	return u
}

// lapsed reports whether every lease that was sent has passed for certain.
func (w *worker) lapsed(now time.Time) bool {
	return now.After(w.lapsesAt())
}

// lapsesAt returns when every lease that was sent, by this owner or a former
// one, has passed for certain.
func (w *worker) lapsesAt() time.Time {
	left := float64(w.maxUntil-w.clock) / clockRate
	return laterOf(w.formerUntil, w.clockAt.Add(max(0, time.Duration(left))))
}

// usable reports whether the worker may be given new work.
func (w *worker) usable(now time.Time) bool { return !w.closing && w.reachable(now) }

// reachable reports whether the worker could be given new work if it were not
// to be emptied.
func (w *worker) reachable(now time.Time) bool {
	return w.listed && w.fenced && w.recorded && !w.boundStored && !w.gone && !w.silent && w.State == rock.WorkerReady &&
		!now.Before(w.restUntil) && now.Sub(w.answeredAt) < quietLimit
}

// free returns the worker's free room.
func (w *worker) free() rock.Resources { return w.Capacity.Sub(w.used) }

// add counts a run.
func (w *worker) add(r *run) {
	w.runs[r.id()] = r
	w.used = w.used.Add(r.room)
}

// remove stops counting a run.
func (w *worker) remove(r *run) {
	if w.runs[r.id()] == r {
		delete(w.runs, r.id())
		w.used = w.used.Sub(r.room)
	}
	if r.task != nil && r.task.current == r {
		r.task.current = nil
	}
}

// has reports whether the worker carries the label.
func (w *worker) has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }
