package trace

import "time"

// leavingLimit is how long a host may still be given new work after it was
// closed.
const leavingLimit = 5 * time.Second

// leavingLeftAlone: a host starts no task later than five seconds after it was
// closed, but for tasks of entries that are cut off, or were so within that
// time.
func leavingLeftAlone(h *history, r *report) {
	closed := map[string]time.Time{}
	reach := newConnectivity()
	excused := map[string]bool{}
	for _, e := range h.events {
		reach.observe(e)
		switch e.Kind {
		case HostClosed:
			if _, ok := closed[e.Host]; !ok {
				closed[e.Host] = e.At
			}
		case HostOpened, HostAdded:
			delete(closed, e.Host)
		case Sent:
			excused[e.TaskID] = reach.cutSince(e.Entry, e.At.Add(-leavingLimit))
		case Started:
			at, ok := closed[e.Host]
			if late := e.At.Sub(at); ok && late > leavingLimit && !excused[e.TaskID] {
				r.add(e, "%s started task %s %v after it was closed", e.Host, e.TaskID, late)
			}
		}
	}
}
