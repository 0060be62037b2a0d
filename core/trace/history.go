package trace

import "time"

// history is a trace in order of time, with what the outcomes look up in it.
type history struct {
	events []Event
	// requests gives the request of each task.
	requests map[string]string
	// sends gives the sending of each task.
	sends map[string]Event
	// arrivals gives the first arrival of each request.
	arrivals map[string]Event
	// starts gives the starts of each request on targets.
	starts map[string][]Event
}

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

// requestOf returns the request of an event about a request or task. A task
// that nobody is known to have sent is its own request.
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

// retryKey returns what joins the request with the caller's retries of it.
func (h *history) retryKey(request string) string {
	a := h.arrivals[request]
	if a.IdempotencyKey == "" {
		return "request " + request
	}
	return "key " + a.Organisation + "/" + a.IdempotencyKey
}

// finalEvents returns the first event that ended each request.
func (h *history) finalEvents() map[string]Event {
	finals := map[string]Event{}
	for _, e := range h.events {
		switch e.Kind {
		case Answered, Refused, Cancelled, Cut:
			if _, ok := finals[e.RequestID]; !ok {
				finals[e.RequestID] = e
			}
		}
	}
	return finals
}
