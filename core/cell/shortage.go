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
	need := t.step.Reservation()
	if c.shortage.covers(need) {
		return nil
	}
	w := c.chooseWorker(now, t, usable)
	if w == nil && !slices.ContainsFunc(usable, func(w *worker) bool { return w.freeResources().CanFit(need) }) {
		c.shortage = append(c.shortage, need)
	}
	return w
}
