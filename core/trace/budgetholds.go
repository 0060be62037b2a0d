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

// hostState is what counts of a host for a budget.
type hostState struct {
	pool string
	open bool
	lost bool
}

func (s *hostState) available() bool { return s.open && !s.lost }

// budgets follows the hosts and the budgets of the pools.
type budgets struct {
	hosts map[string]*hostState
	least map[string]int
}

// available returns the number of hosts of the pool that are up and open.
func (b *budgets) available(pool string) int {
	n := 0
	for _, s := range b.hosts {
		if s.pool == pool && s.available() {
			n++
		}
	}
	return n
}

// add puts the host into a pool, which takes it away from the one it was in.
func (b *budgets) add(e Event, r *report) {
	s, ok := b.hosts[e.Host]
	if !ok {
		b.hosts[e.Host] = &hostState{pool: e.Pool, open: true}
		return
	}
	old, counted := s.pool, s.available()
	s.pool, s.open = e.Pool, true
	if counted && old != e.Pool {
		b.judge(e, old, r)
	}
}

// close takes the host away from its pool.
func (b *budgets) close(e Event, r *report) {
	s, ok := b.hosts[e.Host]
	if !ok || !s.open {
		return
	}
	s.open = false
	if !s.lost && e.State != StateListed {
		b.judge(e, s.pool, r)
	}
}

// change changes a known host.
func (b *budgets) change(host string, do func(s *hostState)) {
	if s, ok := b.hosts[host]; ok {
		do(s)
	}
}

// judge judges an act that took a host away from the pool.
func (b *budgets) judge(e Event, pool string, r *report) {
	if n := b.available(pool); n < b.least[pool] {
		r.add(e, "taking %s away leaves pool %s with %d hosts, its budget is %d", e.Host, pool, n, b.least[pool])
	}
}
