package budget

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Headroom is what the budgets leave for voluntary steps in one configuration. It
// helps to choose steps; the review decides. It is not safe for concurrent
// use.
type Headroom struct {
	fleet   rock.Fleet
	states  map[string]rock.HostState
	budgets map[string][]record.Budget
	counts  map[string]*poolCount
}

// Headroom returns the room that the budgets leave in the configuration. A budget
// that this program cannot read is left out, since it is the review that
// decides.
func (r *Reviewer) Headroom(_ time.Time, fleet rock.Fleet) *Headroom {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := &Headroom{fleet: fleet, states: r.states, budgets: map[string][]record.Budget{}, counts: map[string]*poolCount{}}
	for _, rec := range fleet.Records(rock.KindBudget) {
		if b, err := r.decode(rec); err == nil {
			room.budgets[b.Pool()] = append(room.budgets[b.Pool()], b)
		}
	}
	return room
}

// Available reports whether the host is open and live.
func (r *Headroom) Available(h rock.Host) bool { return h.Open() && r.Live(h.Name()) }

// Live reports whether the platform lists the host as live.
func (r *Headroom) Live(host string) bool { return r.states[host] == rock.HostLive }

// Reserve reserves the room to take the host away from its pool. An error says
// which budget leaves none.
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

// BelowBudget reports whether the pool has fewer available hosts than a budget
// needs.
func (r *Headroom) BelowBudget(pool string) bool {
	c := r.count(pool)
	for _, b := range r.budgets[pool] {
		if c.belowBudget(b) {
			return true
		}
	}
	return false
}

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
