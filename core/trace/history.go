package trace

import "time"

// history holds the events of a trace in order of time, with indexes for the
// outcomes.
type history struct {
	events []Event
	// requests maps each task id to the id of its request.
	requests map[string]string
	// sends maps each task id to its [Sent] event.
	sends map[string]Event
	// arrivals maps each request id to its first [Arrived] event.
	arrivals map[string]Event
	// starts maps each request id to its [Started] events.
	starts map[string][]Event
}

// newHistory returns the history of events, which are in order of time.
func newHistory(events []Event) *history {
	h := &history{
		events:   events,
		requests: map[string]string{},
		sends:    map[string]Event{},
		arrivals: map[string]Event{},
		starts:   map[string][]Event{},
	}
	for _, e := range events {
		switch {
		case e.Kind == Sent:
			h.requests[e.TaskID] = e.RequestID
			h.sends[e.TaskID] = e
		case e.Kind == Started && e.RequestID != "":
			h.requests[e.TaskID] = e.RequestID
		case e.Kind == Arrived:
			if _, ok := h.arrivals[e.RequestID]; !ok {
				h.arrivals[e.RequestID] = e
			}
		}
	}
	for _, e := range events {
		if e.Kind == Started {
			id := h.requestOf(e)
			h.starts[id] = append(h.starts[id], e)
		}
	}
	return h
}

// requestOf returns the id of the request to which the event belongs. If the
// request of a task is not recorded, it returns the id of the task.
func (h *history) requestOf(e Event) string {
	if e.RequestID != "" {
		return e.RequestID
	}
	if id, ok := h.requests[e.TaskID]; ok {
		return id
	}
	return e.TaskID
}

// end returns the time of the last event.
func (h *history) end() time.Time {
	if len(h.events) == 0 {
		return time.Time{}
	}
	return h.events[len(h.events)-1].At
}

// retryKey returns a key that is the same for a request and the caller's retries
// of it.
func (h *history) retryKey(request string) string {
	a := h.arrivals[request]
	if a.IdempotencyKey == "" {
		return "request " + request
	}
	return "key " + a.Organisation + "/" + a.IdempotencyKey
}

// finalEvents maps each request id to the first event that ended the request.
func (h *history) finalEvents() map[string]Event {
	final := map[string]Event{}
	for _, e := range h.events {
		switch e.Kind {
		case Answered, Refused, Cancelled, Cut:
			if _, ok := final[e.RequestID]; !ok {
				final[e.RequestID] = e
			}
		}
	}
	return final
}
