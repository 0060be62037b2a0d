package trace

// StateListed is the state of a [HostClosed] event if it was the platform that
// closed the host, and not an act of ours.
const StateListed = "listed"

// budgetHolds: no act of ours takes a host away from a pool that then has
// fewer hosts, up and open, than its budget. Hosts that failed are away
// already.
func budgetHolds(h *history, r *report) {
	b := &budgets{hosts: map[string]*hostState{}, least: map[string]int{}}
	for _, e := range h.events {
		switch e.Kind {
		case BudgetSet:
			b.least[e.Pool] = e.MinAvailable
		case HostAdded:
			b.add(e, r)
		case HostClosed:
			b.close(e, r)
		case HostOpened:
			b.change(e.Host, func(s *hostState) { s.open = true })
		case HostLost:
			b.change(e.Host, func(s *hostState) { s.lost = true })
		case HostBack:
			b.change(e.Host, func(s *hostState) { s.lost = false })
		}
	}
}
