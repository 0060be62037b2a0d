package trace

import (
	"maps"
	"slices"

	rock "bramleyrock"
)

// nothingCut: no caller's connection breaks before its answer, no entry ends a
// planned stop with requests in flight, and an entry that is leaving refuses
// nothing but as not_run, unless the work itself failed.
func nothingCut(h *history, r *report) {
	inFlight := map[string]map[string]bool{}
	at := map[string]string{}
	leaving := map[string]bool{}
	for _, e := range h.events {
		switch e.Kind {
		case Arrived:
			if inFlight[e.Entry] == nil {
				inFlight[e.Entry] = map[string]bool{}
			}
			inFlight[e.Entry][e.RequestID] = true
			at[e.RequestID] = e.Entry
		case Answered, Refused, Cancelled, Cut:
			delete(inFlight[at[e.RequestID]], e.RequestID)
			checkRequestEnd(e, leaving[at[e.RequestID]], r)
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

// checkRequestEnd judges the end of a request at an entry.
func checkRequestEnd(e Event, leaving bool, r *report) {
	if e.Kind == Cut {
		r.add(e, "request %s was cut", e.RequestID)
	}
	if e.Kind == Refused && leaving && e.Verdict != rock.NotRun && e.Reason != rock.WorkFailed {
		r.add(e, "request %s was refused as %s by an entry that is leaving", e.RequestID, e.Verdict)
	}
}
