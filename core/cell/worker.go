package cell

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
)

// worker is the state of a worker as the cell knows it.
type worker struct {
	rock.Worker
	// registered is true while the platform lists the worker.
	registered bool
	// acceptedFence is true once the worker has answered an order that carried
	// the cell's epoch.
	acceptedFence bool
	// gone is true once this incarnation of the worker is known to be over. Its clock
	// would have shown goneClock then.
	gone      bool
	goneClock time.Duration
	// clock is the last reading of the worker's clock, which arrived at clockAt.
	clock   time.Duration
	clockAt time.Time
	// maxLeaseEnd is the latest lease end that was sent, on the worker's clock.
	maxLeaseEnd time.Duration
	// answeredAt is when the worker made its last report, as far as its clock tells; see
	// dateReport. unresponsive is true if it left an order unanswered, or refused a
	// renewal, since then.
	answeredAt   time.Time
	dates        reportDates
	unresponsive bool
	// maybeRestarted is true from an unanswered order to the worker's next report:
	// the worker may have restarted, which numbers its ends from 1 again.
	maybeRestarted bool
	// unansweredAt is when the last order without an answer was sent.
	unansweredAt time.Time
	// backoffUntil is when the worker may be given new tasks again.
	backoffUntil time.Time
	// closing is true while the worker is being drained; see [Cell.SetClosing].
	closing bool
	// takenDownUntil is when the worker may be given new tasks again unless its host is
	// taken down; see [Cell.BeginTakeDown].
	takenDownUntil time.Time
	used           rock.Resources
	runs           map[runKey]*run
	// hasRow is true once a stored row states that the cell manages the worker.
	hasRow bool
	// rewriteRow is true while that row is to be written again unchanged.
	rewriteRow bool
	// leaseEndStored is true while that row holds the end of the worker's lease.
	// The lease must not be extended then.
	leaseEndStored bool
	// formerLeaseEnd is when every lease from a former owner has expired.
	formerLeaseEnd time.Time
	// restartLeaseEnd is when the leases of orders have expired that have reached a new
	// incarnation of the worker before it has reported.
	restartLeaseEnd time.Time
	// handledEnd is the number of the last end that was handled, and storedEnd
	// that of the last end whose effects are stored.
	handledEnd int64
	storedEnd  int64
	// deferredEnds holds the ends of runs whose jobs are not read yet.
	deferredEnds     []rock.End
	incarnationStart time.Time // start of this incarnation
	health           *eject.HostHealth
	rack             string
	slowdown         slowdown
	// throttlePercent is by how many percent best-effort tasks are slowed down.
	throttlePercent int
	throttledAt     time.Time
	// reservation is the last reservation for a persistent task.
	reservation reservation
}

func (w *worker) id() string { return w.ID }

// resolvedEnd returns the number of the last handled end before the first
// deferred one.
func (w *worker) resolvedEnd() int64 {
	if len(w.deferredEnds) > 0 {
		return min(w.handledEnd, w.deferredEnds[0].Number-1)
	}
	return w.handledEnd
}

// extendLease returns the end, on the worker's clock, of a lease that starts now
// and records that it is sent.
func (w *worker) extendLease(now time.Time, duration time.Duration) time.Duration {
	end := w.clock + now.Sub(w.clockAt) + duration
	w.maxLeaseEnd = max(w.maxLeaseEnd, end)
	return end
}

// leaseExpired reports whether every lease that was sent has certainly expired.
func (w *worker) leaseExpired(now time.Time) bool {
	return now.After(w.leaseExpiry())
}

// leaseExpiry returns when every lease that this owner or a former one sent has
// certainly expired.
func (w *worker) leaseExpiry() time.Time {
	left := float64(w.maxLeaseEnd-w.clock) / minClockRate
	return later(later(w.formerLeaseEnd, w.restartLeaseEnd), w.clockAt.Add(max(0, time.Duration(left))))
}

// runsOver reports whether all runs on the worker are certainly over although it has
// not listed their ends, and why. An unresponsive worker must have left an order
// unanswered that was sent after its lease expired, because its runs may have ended, and
// be reported, before that.
func (w *worker) runsOver(now time.Time) (reason string, over bool) {
	switch {
	case w.gone:
		return "its worker is gone", true
	case !w.acceptedFence:
		over = now.After(w.formerLeaseEnd)
	default:
		over = w.unresponsive && w.leaseExpired(w.unansweredAt)
	}
	if !over {
		return "", false
	}
	return fmt.Sprintf("its worker has not answered for %v and its lease has expired", now.Sub(w.answeredAt)), true
}

// usable reports whether the worker may be given new tasks.
func (w *worker) usable(now time.Time) bool { return w.exclusion(now) == "" }

// reachable reports whether the worker may be given new tasks, whether or not
// it is being drained.
func (w *worker) reachable(now time.Time) bool {
	e := w.exclusion(now)
	return e == "" || e == ExcludedClosing
}

// inService reports whether the worker answers and is not drained by the platform.
func (w *worker) inService() bool {
	return w.registered && !w.gone && !w.unresponsive && w.State == rock.WorkerReady
}

// backOff records that the worker is given no new tasks for a while.
func (w *worker) backOff(now time.Time, d time.Duration) {
	w.backoffUntil = later(w.backoffUntil, now.Add(d))
}

// freeResources returns the worker's free resources.
func (w *worker) freeResources() rock.Resources { return w.Capacity.Sub(w.used) }

// maxFreeResources returns the resources that are free once all tasks on the worker but
// the persistent ones have ended.
func (w *worker) maxFreeResources() rock.Resources {
	free := w.Capacity
	for _, r := range w.runs {
		if r.lasts() {
			free = free.Sub(r.resources)
		}
	}
	return free
}

// addRun adds a run and reserves its resources.
func (w *worker) addRun(r *run) {
	w.runs[r.id()] = r
	w.used = w.used.Add(r.resources)
}

// removeRun removes a run and releases its resources.
func (w *worker) removeRun(r *run) {
	if w.runs[r.id()] == r {
		delete(w.runs, r.id())
		w.used = w.used.Sub(r.resources)
	}
	if r.task != nil && r.task.current == r {
		r.task.current = nil
	}
}

// hasUnansweredStart reports whether a run of which a start had no answer is not confirmed.
func (w *worker) hasUnansweredStart() bool {
	for _, r := range w.runs {
		if r.startUnanswered && r.state != running {
			return true
		}
	}
	return false
}

// hasLabel reports whether the worker has the label, which may be empty for any.
func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }
