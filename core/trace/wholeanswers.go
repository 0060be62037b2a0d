package trace

import rock "bramleyrock"

// wholeAnswers checks that every request that arrives gets exactly one answer or
// refusal, and that an answer is byte for byte the result of a task that a target
// completed for this request or for one with the same idempotency key. Requests
// whose caller cancelled or lost its connection, or whose entry was lost, may remain
// unanswered.
func wholeAnswers(h *history, r *report) {
	done := h.doneDigests()
	final := map[string]bool{}
	for _, e := range h.events {
		if e.Kind != Answered && e.Kind != Refused {
			continue
		}
		if final[e.RequestID] {
			r.add(e, "request %s was answered twice", e.RequestID)
		}
		final[e.RequestID] = true
		if e.Kind == Answered && !done[h.retryKey(e.RequestID)][e.Digest] {
			r.add(e, "answer %s of request %s is not the result of any of its tasks", e.Digest, e.RequestID)
		}
	}
	abandoned := h.abandoned()
	for _, e := range h.events {
		if e.Kind == Arrived && !final[e.RequestID] && !abandoned[e.RequestID] {
			r.add(e, "request %s was never answered", e.RequestID)
		}
	}
}

// doneDigests returns the digests of the results of completed tasks, by the retry
// key of the request.
func (h *history) doneDigests() map[string]map[string]bool {
	done := map[string]map[string]bool{}
	for _, e := range h.events {
		if e.Kind != Ended || e.State != string(rock.TaskDone) {
			continue
		}
		key := h.retryKey(h.requestOf(e))
		if done[key] == nil {
			done[key] = map[string]bool{}
		}
		done[key][e.Digest] = true
	}
	return done
}

// abandoned returns the ids of the requests that were cancelled, whose caller's
// connection broke, or whose entry was lost after they arrived there.
func (h *history) abandoned() map[string]bool {
	abandoned := map[string]bool{}
	requestsAt := map[string][]string{}
	for _, e := range h.events {
		switch e.Kind {
		case Arrived:
			requestsAt[e.Entry] = append(requestsAt[e.Entry], e.RequestID)
		case Cancelled, Cut:
			abandoned[e.RequestID] = true
		case EntryLost:
			for _, id := range requestsAt[e.Entry] {
				abandoned[id] = true
			}
			delete(requestsAt, e.Entry)
		}
	}
	return abandoned
}
