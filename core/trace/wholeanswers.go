package trace

import rock "bramleyrock"

// wholeAnswers: every request that arrives gets one answer or refusal, and an
// answer is byte for byte that of a task of this request, or of a request with
// the same idempotency key, that was done on a target. Requests that their
// caller gave up, or whose entry was lost, may stay without.
func wholeAnswers(h *history, r *report) {
	done := h.doneDigests()
	settled := map[string]bool{}
	for _, e := range h.events {
		if e.Kind != Answered && e.Kind != Refused {
			continue
		}
		if settled[e.RequestID] {
			r.add(e, "request %s was answered twice", e.RequestID)
		}
		settled[e.RequestID] = true
		if e.Kind == Answered && !done[h.retryKey(e.RequestID)][e.Digest] {
			r.add(e, "answer %s of request %s is not that of a task of it", e.Digest, e.RequestID)
		}
	}
	open := h.abandoned()
	for _, e := range h.events {
		if e.Kind == Arrived && !settled[e.RequestID] && !open[e.RequestID] {
			r.add(e, "request %s was never answered", e.RequestID)
		}
	}
}

// doneDigests returns the digests of the answers that targets made for each
// identity.
func (h *history) doneDigests() map[string]map[string]bool {
	done := map[string]map[string]bool{}
	for _, e := range h.events {
		if e.Kind != Ended || e.State != string(rock.TaskDone) {
			continue
		}
		id := h.retryKey(h.requestOf(e))
		if done[id] == nil {
			done[id] = map[string]bool{}
		}
		done[id][e.Digest] = true
	}
	return done
}

// abandoned returns the requests that their caller gave up, or whose entry was
// lost after they arrived there.
func (h *history) abandoned() map[string]bool {
	gone := map[string]bool{}
	at := map[string][]string{}
	for _, e := range h.events {
		switch e.Kind {
		case Arrived:
			at[e.Entry] = append(at[e.Entry], e.RequestID)
		case Cancelled, Cut:
			gone[e.RequestID] = true
		case EntryLost:
			for _, id := range at[e.Entry] {
				gone[id] = true
			}
			delete(at, e.Entry)
		}
	}
	return gone
}
