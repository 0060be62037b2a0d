package trace

// budgetTracker tracks the hosts and the budgets of the pools.
type budgetTracker struct {
	hosts        map[string]*hostState // by host
	minAvailable map[string]int        // by pool
}

// available returns the number of available hosts of the pool.
func (b *budgetTracker) available(pool string) int {
	n := 0
	for _, s := range b.hosts {
		if s.pool == pool && s.available() {
			n++
		}
	}
	return n
}

// add puts an open host into the pool of the event. If it was available in another
// pool, that pool is checked.
func (b *budgetTracker) add(e Event, r *report) {
	s, ok := b.hosts[e.Host]
	if !ok {
		b.hosts[e.Host] = &hostState{pool: e.Pool, open: true}
		return
	}
	oldPool, wasAvailable := s.pool, s.available()
	s.pool, s.open = e.Pool, true
	if wasAvailable && oldPool != e.Pool {
		b.check(e, oldPool, r)
	}
}

// close closes the host. Its pool is checked if the host was available and was not
// closed because of the platform's list.
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

// update applies f to the host's state if the host is known.
func (b *budgetTracker) update(host string, f func(s *hostState)) {
	if s, ok := b.hosts[host]; ok {
		f(s)
	}
}

// check reports a violation if the pool, from which the event took a host away, has
// fewer available hosts than its budget.
func (b *budgetTracker) check(e Event, pool string, r *report) {
	if n := b.available(pool); n < b.minAvailable[pool] {
		r.add(e, "taking %s away leaves pool %s with %d available hosts: its budget needs %d", e.Host, pool, n, b.minAvailable[pool])
	}
}
