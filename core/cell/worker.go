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
	// registered is true while the worker is registered.
	registered bool
	// acceptedFence is true once the worker answered under the cell's fence.
	acceptedFence bool
	// gone is true once another life answered in its place.
	gone bool
	// clockAt is when the reading of Clock arrived.
	clock   time.Duration
	clockAt time.Time
	// maxLeaseEnd is the latest end of a lease that was sent, on its clock.
	maxLeaseEnd time.Duration
	// answeredAt is when the worker last answered, silent whether the last
	// order had no answer.
	answeredAt   time.Time
	unresponsive bool
	// maybeRestarted is true after an unanswered order until the worker's next report:
	// it may have restarted, and its ends are numbered anew then.
	maybeRestarted bool
	// unansweredAt is when the last order without an answer was sent.
	unansweredAt time.Time
	backoffUntil time.Time
	// closing is true while the worker is to be emptied.
	closing bool
	used    rock.Resources
	runs    map[runKey]*run
	// hasRow is true once a row tells that the cell orders the worker.
	hasRow bool
	// rewriteRow is true while that row is to be written again as it is.
	rewriteRow bool
	// leaseEndStored is true while that row holds the end of the worker's lease,
	// which must not be extended then.
	leaseEndStored bool
	// formerLeaseEnd is when every lease that a former owner gave has passed.
	formerLeaseEnd time.Time
	// handledEnd is the last end that was taken in, stored the last that needs
	// no more writes.
	handledEnd int64
	storedEnd  int64
	// deferredEnds holds ends that were taken in of jobs that are not known yet.
	deferredEnds []rock.End
	born         time.Time
	health       *eject.HostHealth
	rack         string
	slowdown     slowdown
	// throttlePercent is by how many percent the filling tasks are slowed down.
	throttlePercent int
	throttledAt     time.Time
}

func (w *worker) id() string { return w.ID }

// resolvedEnd returns the last end up to which all belong to known jobs.
func (w *worker) resolvedEnd() int64 {
	if len(w.deferredEnds) > 0 {
		return min(w.handledEnd, w.deferredEnds[0].Number-1)
	}
	return w.handledEnd
}

// extendLease returns the end of a lease of length hold on the worker's clock.
func (w *worker) extendLease(now time.Time, hold time.Duration) time.Duration {
	u := w.clock + now.Sub(w.clockAt) + hold
	w.maxLeaseEnd = max(w.maxLeaseEnd, u)
	return u
}

// leaseExpired reports whether every lease that was sent has passed for certain.
func (w *worker) leaseExpired(now time.Time) bool {
	return now.After(w.leaseExpiry())
}

// leaseExpiry returns when every lease that was sent, by this owner or a former
// one, has passed for certain.
func (w *worker) leaseExpiry() time.Time {
	left := float64(w.maxLeaseEnd-w.clock) / minClockRate
	return later(w.formerLeaseEnd, w.clockAt.Add(max(0, time.Duration(left))))
}

// usable reports whether the worker may be given new work.
func (w *worker) usable(now time.Time) bool { return !w.closing && w.reachable(now) }

// reachable reports whether the worker could be given new work if it were not
// to be emptied.
func (w *worker) reachable(now time.Time) bool {
	return w.registered && w.acceptedFence && w.hasRow && !w.leaseEndStored && !w.gone && !w.unresponsive && w.State == rock.WorkerReady &&
		!now.Before(w.backoffUntil) && now.Sub(w.answeredAt) < maxReportAge
}

// freeRoom returns the worker's free room.
func (w *worker) freeRoom() rock.Resources { return w.Capacity.Sub(w.used) }

// addRun counts a run.
func (w *worker) addRun(r *run) {
	w.runs[r.id()] = r
	w.used = w.used.Add(r.room)
}

// removeRun stops counting a run.
func (w *worker) removeRun(r *run) {
	if w.runs[r.id()] == r {
		delete(w.runs, r.id())
		w.used = w.used.Sub(r.room)
	}
	if r.task != nil && r.task.current == r {
		r.task.current = nil
	}
}

// hasLabel reports whether the worker carries the label.
func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }
