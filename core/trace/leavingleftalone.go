package trace

import "time"

// leavingLimit is the time for which a host may still start new work after it was
// closed.
const leavingLimit = 5 * time.Second

// leavingLeftAlone checks that a host starts no task later than [leavingLimit]
// after it was closed. Tasks of entries that were cut off when they sent the task,
// or at any time within the limit before, are exempt.
func leavingLeftAlone(h *history, r *report) {
	closed := map[string]time.Time{}
	links := newConnectivity()
	exempt := map[string]bool{}
	for _, e := range h.events {
		links.observe(e)
		switch e.Kind {
		case HostClosed:
			if _, ok := closed[e.Host]; !ok {
				closed[e.Host] = e.At
			}
		case HostOpened, HostAdded:
			delete(closed, e.Host)
		case Sent:
			exempt[e.TaskID] = links.cutSince(e.Entry, e.At.Add(-leavingLimit))
		case Started:
			at, ok := closed[e.Host]
			if late := e.At.Sub(at); ok && late > leavingLimit && !exempt[e.TaskID] {
				r.add(e, "%s started task %s %v after it was closed", e.Host, e.TaskID, late)
			}
		}
	}
}
