package cell

import (
	"slices"
	"time"

	rock "bramleyrock"
)

// shortage holds resources for which no worker has room. It spares the search for a
// worker for each of the many tasks that wait for capacity.
type shortage []rock.Resources

// covers reports whether no worker has room for the resources, because none has room for
// less.
func (s shortage) covers(need rock.Resources) bool {
	return slices.ContainsFunc(s, need.CanFit)
}

// chooseUsable returns the worker for a task among the usable ones, or nil if there is
// none. Their free resources must not grow between calls for the same shortage.
func (c *Cell) chooseUsable(now time.Time, t *task, usable []*worker) *worker {
	if c.picker.serves(t) {
		return c.picker.choose(t)
	}
	w, _ := c.searchUnlessShort(now, t, usable, &c.shortage, c.delaysReservation)
	return w
}

// searchUnlessShort returns the worker for a task, or nil if there is none, and whether a worker has
// room for it. It does not search if the shortage tells that none has. A worker has no room for a
// task if its free resources are kept.
func (c *Cell) searchUnlessShort(now time.Time, t *task, workers []*worker, known *shortage, kept func(need rock.Resources, w *worker) bool) (chosen *worker, roomy bool) {
	need := t.step.Reservation()
	if known.covers(need) {
		return nil, false
	}
	if w := c.cheapestWorker(now, t, workers, func(w *worker) bool { return !kept(need, w) && c.mayRun(now, t.step, need, w) }); w != nil {
		return w, true
	}
	if slices.ContainsFunc(workers, func(w *worker) bool { return w.freeResources().CanFit(need) && !kept(need, w) }) {
		return nil, true
	}
	*known = append(*known, need)
	return nil, false
}
