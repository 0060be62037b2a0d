package trace

// budgetTracker follows the hosts and the budgets of the pools.
type budgetTracker struct {
	hosts        map[string]*hostState
	minAvailable map[string]int
}

// available returns the number of hosts of the pool that are up and open.
func (b *budgetTracker) available(pool string) int {
	n := 0
	for _, s := range b.hosts {
		if s.pool == pool && s.available() {
			n++
		}
	}
	return n
}

// add puts the host into a pool, which takes it away from the one it was in.
func (b *budgetTracker) add(e Event, r *report) {
	s, ok := b.hosts[e.Host]
	if !ok {
		b.hosts[e.Host] = &hostState{pool: e.Pool, open: true}
		return
	}
	old, counted := s.pool, s.available()
	s.pool, s.open = e.Pool, true
	if counted && old != e.Pool {
		b.check(e, old, r)
	}
}

// close takes the host away from its pool.
func (b *budgetTracker) close(e Event, r *report) {
	s, ok := b.hosts[e.Host]
	if !ok || !s.open {
		return
	}
	s.open = false
	if !s.lost && e.State != StateListed {
		b.check(e, s.pool, r)
	}
}

// update changes a known host.
func (b *budgetTracker) update(host string, do func(s *hostState)) {
	if s, ok := b.hosts[host]; ok {
		do(s)
	}
}

// check judges an act that took a host away from the pool.
func (b *budgetTracker) check(e Event, pool string, r *report) {
	if n := b.available(pool); n < b.minAvailable[pool] {
		r.add(e, "taking %s away leaves pool %s with %d hosts, its budget is %d", e.Host, pool, n, b.minAvailable[pool])
	}
}
