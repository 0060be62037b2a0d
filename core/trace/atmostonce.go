package trace

// atMostOnce checks that work that is not idempotent is started at most once,
// counting all requests with the same idempotency key together.
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
		key := h.retryKey(request)
		if earlier, ok := first[key]; ok {
			r.add(e, "%s started request %s, which is not idempotent; %s started it before, on line %d",
				e.Host, request, earlier.Host, earlier.line)
			continue
		}
		first[key] = e
	}
}
