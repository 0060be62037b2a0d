package trace

// atMostOnce: work that is not idempotent is started at most once, over all
// requests that carry the same idempotency key.
func atMostOnce(h *history, r *report) {
	first := map[string]Event{}
	for _, e := range h.events {
		if e.Kind != Started {
			continue
		}
		request := h.requestOf(e)
		if h.arrivals[request].Idempotent {
			continue
		}
		id := h.retryKey(request)
		if earlier, ok := first[id]; ok {
			r.add(e, "%s started request %s, which is not idempotent; %s started it before, on line %d",
				e.Host, request, earlier.Host, earlier.line)
			continue
		}
		first[id] = e
	}
}
