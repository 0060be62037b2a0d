package trace

// onePoolPerHost checks that no target ever runs tasks of two pools at the same
// time.
func onePoolPerHost(h *history, r *report) {
	running := map[string]map[string]Event{}
	for _, e := range h.events {
		switch e.Kind {
		case Started:
			if other, ok := otherPool(running[e.Host], e.Pool); ok {
				r.add(e, "%s started task %s of pool %s while task %s of pool %s was running since line %d",
					e.Host, e.TaskID, e.Pool, other.TaskID, other.Pool, other.line)
			}
			if running[e.Host] == nil {
				running[e.Host] = map[string]Event{}
			}
			running[e.Host][e.TaskID] = e
		case Ended:
			delete(running[e.Host], e.TaskID)
		case HostLost, HostRebooted:
			delete(running, e.Host)
		}
	}
}

// otherPool returns the running task of another pool that was started on the lowest
// line, if there is one.
func otherPool(running map[string]Event, pool string) (Event, bool) {
	var first Event
	found := false
	for _, e := range running {
		if e.Pool != pool && (!found || e.line < first.line) {
			first, found = e, true
		}
	}
	return first, found
}
