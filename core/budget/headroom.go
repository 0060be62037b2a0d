package budget

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Headroom tells which hosts may be taken away from their pools in one
// configuration without violating a budget. It helps to plan changes; only
// [Reviewer.Review] decides whether a change is allowed. It is not safe for
// concurrent use.
type Headroom struct {
	fleet   rock.Fleet
	states  map[string]rock.HostState
	budgets map[string][]record.Budget
	counts  map[string]*poolCount
}

// Headroom returns the headroom that the budgets leave in the configuration. Budgets
// that cannot be decoded are left out, since the review decides in the end.
func (r *Reviewer) Headroom(_ time.Time, fleet rock.Fleet) *Headroom {
	r.mu.Lock()
	defer r.mu.Unlock()
	headroom := &Headroom{fleet: fleet, states: r.states, budgets: map[string][]record.Budget{}, counts: map[string]*poolCount{}}
	for _, rec := range fleet.Records(rock.KindBudget) {
		if b, err := r.decode(rec); err == nil {
			headroom.budgets[b.Pool()] = append(headroom.budgets[b.Pool()], b)
		}
	}
	return headroom
}

// Available reports whether the host is open and listed as live.
func (r *Headroom) Available(h rock.Host) bool { return h.Open() && r.Live(h.Name()) }

// Live reports whether the platform lists the host as live.
func (r *Headroom) Live(host string) bool { return r.states[host] == rock.HostLive }

// Reserve counts the host as away from its pool. If that violates a budget, it
// changes nothing and returns an error that says how. A host that is not
// available needs no headroom.
func (r *Headroom) Reserve(h rock.Host) error {
	if !r.Available(h) {
		return nil
	}
	c := r.count(h.Pool())
	c.remove(h)
	for _, b := range r.budgets[h.Pool()] {
		if err := c.violation(b, h); err != nil {
			c.restore(h)
			return err
		}
	}
	return nil
}

// BelowBudget reports whether the pool has fewer available hosts than one of its
// budgets needs.
func (r *Headroom) BelowBudget(pool string) bool {
	c := r.count(pool)
	for _, b := range r.budgets[pool] {
		if c.belowBudget(b) {
			return true
		}
	}
	return false
}

// count returns the counts of the pool, which it computes on first use.
func (r *Headroom) count(pool string) *poolCount {
	c, ok := r.counts[pool]
	if ok {
		return c
	}
	c = newCount(pool)
	for _, h := range r.fleet.PoolHosts(pool, "") {
		c.add(h.Zone(), h.Rack(), r.Available(h))
	}
	r.counts[pool] = c
	return c
}
