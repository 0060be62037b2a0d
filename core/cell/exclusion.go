package cell

import (
	"time"

	rock "bramleyrock"
)

// Exclusion is why a worker may not be given a task. It is empty if the worker may be
// given the task.
type Exclusion string

// The exclusions. The first ones hold for all tasks, those from ExcludedCapacity on
// for the tasks of one step.
const (
	ExcludedUnregistered Exclusion = "not registered"
	ExcludedGone         Exclusion = "gone"
	ExcludedUnresponsive Exclusion = "unresponsive"
	// ExcludedUnfenced means that the worker has not accepted the owner's epoch yet.
	ExcludedUnfenced Exclusion = "not fenced yet"
	// ExcludedUnstored means that the row of the worker is not stored yet.
	ExcludedUnstored Exclusion = "row not stored"
	// ExcludedLeaseEnd means that the stored row of the worker has the end of its lease.
	ExcludedLeaseEnd Exclusion = "lease end stored"
	// ExcludedNotReady means that the registration says that the worker takes no tasks.
	ExcludedNotReady Exclusion = "not ready"
	// ExcludedBackoff means that the worker has recently refused a start.
	ExcludedBackoff Exclusion = "backoff"
	// ExcludedReportAge means that the last answer of the worker is too old.
	ExcludedReportAge Exclusion = "report too old"
	// ExcludedTakenDown means that an order to move or to maintain the worker's host is
	// being sent.
	ExcludedTakenDown Exclusion = "being taken down"
	// ExcludedClosing means that the cell drains the worker.
	ExcludedClosing Exclusion = "closing"

	ExcludedCapacity Exclusion = "no free capacity"
	ExcludedLabel    Exclusion = "label"
	// ExcludedTaskLimit means that the worker is ejected or returning, and has as many
	// runs as it may have.
	ExcludedTaskLimit    Exclusion = "ejected"
	ExcludedMaxPerWorker Exclusion = "max per worker"
	ExcludedNoTicket     Exclusion = "no ticket"
	// ExcludedReserved means that the worker is kept free for a persistent task of a
	// job with a better rank.
	ExcludedReserved Exclusion = "reserved"
)

// exclusion returns why the worker may not be given any new tasks. It returns
// [ExcludedClosing] only if there is no other reason.
func (w *worker) exclusion(now time.Time) Exclusion {
	switch {
	case w.gone:
		return ExcludedGone
	case !w.registered:
		return ExcludedUnregistered
	case w.unresponsive:
		return ExcludedUnresponsive
	case !w.acceptedFence:
		return ExcludedUnfenced
	case !w.hasRow:
		return ExcludedUnstored
	case w.leaseEndStored:
		return ExcludedLeaseEnd
	case w.State != rock.WorkerReady:
		return ExcludedNotReady
	case now.Before(w.backoffUntil):
		return ExcludedBackoff
	case now.Sub(w.answeredAt) >= maxReportAge:
		return ExcludedReportAge
	case now.Before(w.takenDownUntil):
		return ExcludedTakenDown
	case w.closing:
		return ExcludedClosing
	}
	return ""
}

// taskExclusion returns why a usable worker may not be given a task of the step, which
// needs the given resources. It returns [ExcludedTaskLimit] only if there is no other
// reason.
func (c *Cell) taskExclusion(now time.Time, s *step, need rock.Resources, w *worker) Exclusion {
	switch {
	case !w.hasLabel(s.Label):
		return ExcludedLabel
	case !w.freeResources().CanFit(need):
		return ExcludedCapacity
	case now.Before(w.backoffUntil):
		return ExcludedBackoff
	case s.MaxPerWorker > 0 && c.countStepRuns(w, s) >= s.MaxPerWorker:
		return ExcludedMaxPerWorker
	case s.job.queue.RequiresTicket && s.advice.tickets[w.id()] == "":
		return ExcludedNoTicket
	case w.atTaskLimit(now):
		return ExcludedTaskLimit
	}
	return ""
}

// mayRun reports whether a usable worker may be given a task of the step, which needs the given
// resources, whether the worker is reserved or not.
func (c *Cell) mayRun(now time.Time, s *step, need rock.Resources, w *worker) bool {
	return c.taskExclusion(now, s, need, w) == ""
}

// atTaskLimit reports whether the worker is ejected or returning, and has as many runs
// as it may have. The running persistent tasks do not count: they may never end, so that
// a returning worker would get no task that shows whether it is healthy.
func (w *worker) atTaskLimit(now time.Time) bool {
	limit := w.health.TaskLimit(now, noSlotLimit)
	return limit <= len(w.runs) && limit <= w.countLimitedRuns()
}

// countLimitedRuns returns the number of the runs that count towards the task limit.
func (w *worker) countLimitedRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.task == nil || !r.task.step.Persistent || r.state != running {
			n++
		}
	}
	return n
}

// explainExclusion returns why the last placement did not give the task to the worker.
func (c *Cell) explainExclusion(now time.Time, t *task, w *worker) Exclusion {
	general := w.exclusion(now)
	closing := general == ExcludedClosing && c.mayUseClosing(now, t)
	if general != "" && !closing {
		return general
	}
	e := c.taskExclusion(now, t.step, t.step.Reservation(), w)
	if c.mayUseAvoided(now, t) && c.mayTryEjected(now, t, w) {
		e = ""
	}
	switch {
	case e != "":
		return e
	case !closing && !w.freeResources().CanFit(minFreeResources):
		return ExcludedCapacity
	case c.delaysReservation(t.step.Reservation(), w) && !c.mayUseAvoided(now, t):
		return ExcludedReserved
	}
	return ""
}
