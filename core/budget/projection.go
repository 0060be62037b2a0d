package budget

import (
	"maps"
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// projection is the state of hosts and budgets as it would be after a change.
type projection struct {
	before rock.Fleet
	states map[string]rock.HostState
	// after holds the edited hosts by name as they are after the change; nil
	// means deleted.
	after map[string]*record.HostSpec
}

// addEdits adds the edits of hosts to the projection. It returns a failure if the
// record of a host cannot be decoded.
func (p *projection) addEdits(edits []rock.Edit) error {
	for _, e := range edits {
		if e.Key().Kind() != rock.KindHost {
			continue
		}
		p.after[e.Key().Name()] = nil
		if e.To() == nil {
			continue
		}
		h, err := record.HostSpecOf(*e.To())
		if err != nil {
			return rock.Fail("review", e.Key().String(), rock.BadInput, rock.NotRun).Because(err)
		}
		p.after[e.Key().Name()] = &h
	}
	return nil
}

// removedHosts returns, by pool, the open hosts that the change closes, deletes or
// moves to another pool. Hosts that the platform lists as gone are not counted.
func (p *projection) removedHosts() map[string][]rock.Host {
	removed := map[string][]rock.Host{}
	for _, name := range slices.Sorted(maps.Keys(p.after)) {
		was, ok := p.before.Host(name)
		if !ok || !was.Open() || was.Pool() == "" || p.states[name] == rock.HostGone {
			continue
		}
		is := p.after[name]
		if is != nil && is.Open && is.Pool == was.Pool() {
			continue
		}
		removed[was.Pool()] = append(removed[was.Pool()], was)
	}
	return removed
}

// budgets returns the pool's budgets after the change. It returns a failure if any
// budget cannot be decoded.
func (p *projection) budgets(pool string, edits []rock.Edit) ([]record.Budget, error) {
	records := map[string]rock.Record{}
	for _, r := range p.before.Records(rock.KindBudget) {
		records[r.Key().Name()] = r
	}
	for _, e := range edits {
		if e.Key().Kind() != rock.KindBudget {
			continue
		}
		delete(records, e.Key().Name())
		if e.To() != nil {
			records[e.Key().Name()] = *e.To()
		}
	}
	var found []record.Budget
	for _, name := range slices.Sorted(maps.Keys(records)) {
		b, err := record.As[record.Budget](records[name])
		if err != nil {
			return nil, rock.Fail("review", "budget "+name, rock.BadInput, rock.NotRun).Because(err)
		}
		if b.Pool() == pool {
			found = append(found, b)
		}
	}
	return found, nil
}

// check returns a failure if the change, which removes the hosts from the pool,
// violates the budget.
func (p *projection) check(pool string, removed []rock.Host, b record.Budget) error {
	if err := p.count(pool).violation(b, removed...); err != nil {
		return rock.Fail("review", "host "+removed[0].Name(), rock.BudgetExceeded, rock.NotRun).Because(err)
	}
	return nil
}

// count counts the pool's hosts after the change.
func (p *projection) count(pool string) *poolCount {
	c := newCount(pool)
	for _, h := range p.before.PoolHosts(pool, "") {
		if _, edited := p.after[h.Name()]; !edited {
			c.add(h.Zone(), h.Rack(), p.available(h.Name(), h.Open()))
		}
	}
	for name, h := range p.after {
		if h != nil && h.Pool == pool {
			c.add(h.Zone, h.Rack, p.available(name, h.Open))
		}
	}
	return c
}

// available reports whether the named host, which is open or not, is available.
func (p *projection) available(name string, open bool) bool {
	return open && p.states[name] == rock.HostLive
}
