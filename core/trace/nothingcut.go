package trace

import (
	"maps"
	"slices"

	rock "bramleyrock"
)

// nothingCut checks that no caller's connection breaks before the request is
// answered or refused, that no entry completes a planned stop with requests in
// flight, and that an entry that is stopping refuses requests only as not_run,
// unless the work itself failed.
func nothingCut(h *history, r *report) {
	inFlight := map[string]map[string]bool{}
	entryOf := map[string]string{}
	leaving := map[string]bool{}
	for _, e := range h.events {
		switch e.Kind {
		case Arrived:
			if inFlight[e.Entry] == nil {
				inFlight[e.Entry] = map[string]bool{}
			}
			inFlight[e.Entry][e.RequestID] = true
			entryOf[e.RequestID] = e.Entry
		case Answered, Refused, Cancelled, Cut:
			delete(inFlight[entryOf[e.RequestID]], e.RequestID)
			checkRequestEnd(e, leaving[entryOf[e.RequestID]], r)
		case EntryLeaving:
			leaving[e.Entry] = true
		case EntryStopped:
			for _, id := range slices.Sorted(maps.Keys(inFlight[e.Entry])) {
				r.add(e, "%s stopped with request %s in flight", e.Entry, id)
			}
			delete(inFlight, e.Entry)
		case EntryLost:
			delete(inFlight, e.Entry)
		case EntryStarted:
			leaving[e.Entry] = false
		}
	}
}

// checkRequestEnd reports a violation if the event that ended a request shows that
// the request was interrupted.
func checkRequestEnd(e Event, leaving bool, r *report) {
	if e.Kind == Cut {
		r.add(e, "request %s was cut", e.RequestID)
	}
	if e.Kind == Refused && leaving && e.Verdict != rock.NotRun && e.Reason != rock.WorkFailed {
		r.add(e, "request %s was refused as %s by an entry that is leaving", e.RequestID, e.Verdict)
	}
}
