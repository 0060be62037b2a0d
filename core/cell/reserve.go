package cell

import (
	"cmp"
	"slices"
	"time"

	rock "bramleyrock"
)

// reservation keeps room on a worker for a persistent task that has no place: smaller tasks of
// jobs with a worse rank would otherwise take whatever becomes free there. It holds for one
// placement round. Tasks that do not delay the persistent one are placed beside it.
type reservation struct {
	// round is the placement round, or 0 if the worker was never reserved.
	round uint64
	step  *step
	// mostUsed is what may be used on the worker now, so that the persistent task has room when the
	// ordinary tasks end that are expected to make it.
	mostUsed rock.Resources
}

// isReserved reports whether the worker was reserved in the last placement round.
func (c *Cell) isReserved(w *worker) bool {
	return w.reservation.round != 0 && w.reservation.round == c.placementRound
}

// reserveWorker reserves the worker with the most free CPU among those that may be reserved for
// a task of the step. The adviser is asked about others if there is none.
func (c *Cell) reserveWorker(now time.Time, s *step, usable []*worker) {
	var best *worker
	var unknown []*worker
	for _, w := range usable {
		switch c.reserveExclusion(now, s, w) {
		case "":
			if best == nil || w.freeResources().MilliCores > best.freeResources().MilliCores {
				best = w
			}
		case ExcludedNoTicket:
			if !s.advice.refusedWorkers[w.id()] {
				unknown = append(unknown, w)
			}
		}
	}
	switch {
	case best != nil:
		best.reservation = c.newReservation(now, s, best)
	case len(unknown) > 0 && c.mayAskAdviser(now, s):
		c.askAdviser(now, s, unknown)
	}
}

// reserveExclusion returns why a usable worker may not be reserved for a task of the step. It may
// be if nothing but the ordinary tasks on the worker keeps the task from it.
func (c *Cell) reserveExclusion(now time.Time, s *step, w *worker) Exclusion {
	switch {
	case c.isReserved(w):
		return ExcludedReserved
	case !w.maxFreeResources().CanFit(s.Reservation()):
		return ExcludedCapacity
	}
	return c.taskExclusion(now, s, rock.Resources{}, w)
}

// newReservation returns a reservation of the worker for a task of the step. The worker has room
// for it once all ordinary tasks on the worker have ended.
func (c *Cell) newReservation(now time.Time, s *step, w *worker) reservation {
	type ending struct {
		run *run
		at  time.Time
	}
	ends := make([]ending, 0, len(w.runs))
	for _, r := range w.runs {
		if !r.lasts() {
			ends = append(ends, ending{r, c.expectedEnd(now, r)})
		}
	}
	slices.SortFunc(ends, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run.key, b.run.key), cmp.Compare(a.run.number, b.run.number))
	})
	free, need := w.freeResources(), s.Reservation()
	for _, e := range ends {
		if free.CanFit(need) {
			break
		}
		free = free.Add(e.run.resources)
	}
	return reservation{round: c.placementRound, step: s, mostUsed: w.used.Add(free.Sub(need))}
}

// expectedEnd returns when a run that does not last is expected to end, which is now if it has
// exceeded its expected run time.
func (c *Cell) expectedEnd(now time.Time, r *run) time.Time {
	switch {
	case r.state == stopping:
		return now
	case r.task == nil:
		return now.Add(defaultRunTime)
	}
	expected := c.expectedRunTimeOn(now, r.task.step, r.worker)
	if r.startedAt.IsZero() {
		return now.Add(expected)
	}
	return later(now, r.startedAt.Add(expected))
}

// expectedRunTimeOn returns the expected run time of one of the step's tasks on the worker.
func (c *Cell) expectedRunTimeOn(now time.Time, s *step, w *worker) time.Duration {
	factor := w.slowdown.value(now)
	if s.Rack != "" && w.rack != s.Rack {
		factor *= max(1, c.settings.RemoteSlowdown)
	}
	return time.Duration(factor * float64(c.expectedRunTime(s)))
}

// delaysReservation reports whether the worker is reserved, and a task with the given needs that
// is placed on it now would delay the one for which it is reserved.
func (c *Cell) delaysReservation(need rock.Resources, w *worker) bool {
	return c.isReserved(w) && !w.reservation.mostUsed.Sub(w.used).CanFit(need)
}

// mayPlace reports whether a usable worker may be given a task of the step, which needs the given
// resources, without a delay of the task for which it may be reserved.
func (c *Cell) mayPlace(now time.Time, s *step, need rock.Resources, w *worker) bool {
	return !c.delaysReservation(need, w) && c.mayRun(now, s, need, w)
}
