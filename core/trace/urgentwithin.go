package trace

import (
	"time"

	rock "bramleyrock"
)

// urgentLimit is how long urgent work may wait for its start.
const urgentLimit = 7800 * time.Millisecond

// urgentWithin: urgent work is started on a target within 7.8 seconds of its
// arrival, unless it was refused or given up before.
func urgentWithin(h *history, r *report) {
	finals := h.finalEvents()
	for _, e := range h.events {
		if e.Kind != Arrived || e.Class != rock.Urgent {
			continue
		}
		due := e.At.Add(urgentLimit)
		if due.After(h.end()) {
			continue
		}
		if f, ok := finals[e.RequestID]; ok && f.Kind != Answered && !f.At.After(due) {
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
