package trace

import rock "bramleyrock"

// notRunTrue checks that no target ever starts a request that was refused as
// not_run.
func notRunTrue(h *history, r *report) {
	for _, e := range h.events {
		if e.Kind != Refused || e.Verdict != rock.NotRun {
			continue
		}
		if starts := h.starts[e.RequestID]; len(starts) > 0 {
			r.add(e, "request %s was refused as not_run, but %s started it as task %s on line %d",
				e.RequestID, starts[0].Host, starts[0].TaskID, starts[0].line)
		}
	}
}
