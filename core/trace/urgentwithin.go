package trace

import (
	"time"

	rock "bramleyrock"
)

// urgentLimit is the time from arrival within which urgent work must be started.
const urgentLimit = 7800 * time.Millisecond

// urgentWithin checks that urgent work is started on a target within [urgentLimit]
// of its arrival, unless it was refused, cancelled or cut off by then. Requests for
// which the trace ends before the limit are not checked.
func urgentWithin(h *history, r *report) {
	final := h.finalEvents()
	for _, e := range h.events {
		if e.Kind != Arrived || e.Class != rock.Urgent {
			continue
		}
		deadline := e.At.Add(urgentLimit)
		if deadline.After(h.end()) {
			continue
		}
		if f, ok := final[e.RequestID]; ok && f.Kind != Answered && !f.At.After(deadline) {
			continue
		}
		starts := h.starts[e.RequestID]
		if len(starts) == 0 {
			r.add(e, "urgent request %s was never started", e.RequestID)
			continue
		}
		if waited := starts[0].At.Sub(e.At); waited > urgentLimit {
			r.add(starts[0], "urgent request %s was started after %v", e.RequestID, waited)
		}
	}
}
