package budget

import (
	"maps"
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// projection counts the available hosts of pools after a change.
type projection struct {
	before rock.Fleet
	states map[string]rock.HostState
	// after holds the edited hosts as they are after the change; nil means
	// deleted.
	after map[string]*record.HostSpec
}

// addEdits notes the edits of hosts.
func (l *projection) addEdits(edits []rock.Edit) error {
	for _, e := range edits {
		if e.Key().Kind() != rock.KindHost {
			continue
		}
		l.after[e.Key().Name()] = nil
		if e.To() == nil {
			continue
		}
		h, err := record.HostSpecOf(*e.To())
		if err != nil {
			return rock.Fail("review", e.Key().String(), rock.BadInput, rock.NotRun).Because(err)
		}
		l.after[e.Key().Name()] = &h
	}
	return nil
}

// removedHosts returns the pools from which the change takes hosts away, and these
// hosts.
func (l *projection) removedHosts() map[string][]rock.Host {
	taken := map[string][]rock.Host{}
	for _, name := range slices.Sorted(maps.Keys(l.after)) {
		was, ok := l.before.Host(name)
		if !ok || !was.Open() || was.Pool() == "" || l.states[name] == rock.HostGone {
			continue
		}
		is := l.after[name]
		if is != nil && is.Open && is.Pool == was.Pool() {
			continue
		}
		taken[was.Pool()] = append(taken[was.Pool()], was)
	}
	return taken
}

// budgets returns the pool's budgets after the change.
func (l *projection) budgets(pool string, edits []rock.Edit) ([]record.Budget, error) {
	records := map[string]rock.Record{}
	for _, r := range l.before.Records(rock.KindBudget) {
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

// check reports a failure if the pool breaks the budget after the change,
// which takes the hosts away.
func (l *projection) check(pool string, taken []rock.Host, b record.Budget) error {
	if err := l.count(pool).violation(b, taken...); err != nil {
		return rock.Fail("review", "host "+taken[0].Name(), rock.BudgetExceeded, rock.NotRun).Because(err)
	}
	return nil
}

// poolCount counts the pool's hosts after the change.
func (l *projection) count(pool string) *poolCount {
	c := newCount(pool)
	for _, h := range l.before.PoolHosts(pool, "") {
		if _, edited := l.after[h.Name()]; !edited {
			c.add(h.Zone(), h.Rack(), l.available(h.Name(), h.Open()))
		}
	}
	for name, h := range l.after {
		if h != nil && h.Pool == pool {
			c.add(h.Zone, h.Rack, l.available(name, h.Open))
		}
	}
	return c
}

// available reports whether a host of that name is available.
func (l *projection) available(name string, open bool) bool {
	return open && l.states[name] == rock.HostLive
}
