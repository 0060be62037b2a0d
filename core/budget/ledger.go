package budget

import (
	"maps"
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/forms"
)

// ledger counts the available hosts of pools after a change.
type ledger struct {
	before rock.Fleet
	states map[string]rock.HostState
	// after holds the edited hosts as they are after the change; nil means
	// deleted.
	after map[string]*forms.Host
}

// take notes the edits of hosts.
func (l *ledger) take(edits []rock.Edit) error {
	for _, e := range edits {
		if e.Key().Kind() != rock.KindHost {
			continue
		}
		l.after[e.Key().Name()] = nil
		if e.To() == nil {
			continue
		}
		h, err := forms.DecodeHost(*e.To())
		if err != nil {
			return rock.Fail("review", e.Key().String(), rock.BadInput, rock.NotRun).Because(err)
		}
		l.after[e.Key().Name()] = &h
	}
	return nil
}

// takenFrom returns the pools from which the change takes hosts away, and these
// hosts.
func (l *ledger) takenFrom() map[string][]rock.Host {
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
func (l *ledger) budgets(pool string, edits []rock.Edit) ([]forms.Budget, error) {
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
	var found []forms.Budget
	for _, name := range slices.Sorted(maps.Keys(records)) {
		b, err := forms.DecodeBudget(records[name])
		if err != nil {
			return nil, rock.Fail("review", "budget "+name, rock.BadInput, rock.NotRun).Because(err)
		}
		if b.Pool == pool {
			found = append(found, b)
		}
	}
	return found, nil
}

// check reports a failure if the pool breaks the budget after the change,
// which takes the hosts away.
func (l *ledger) check(pool string, taken []rock.Host, b forms.Budget) error {
	c := l.count(pool)
	if need := b.Need(c.hosts); c.available < need {
		return exceeded(taken[0]).Becausef("pool %s would have %d of %d hosts available: its budget needs %d",
			pool, c.available, c.hosts, need)
	}
	for _, h := range taken {
		if n := c.awayInZone[h.Zone()]; b.MaxAwayPerZone > 0 && n > b.MaxAwayPerZone {
			return exceeded(h).Becausef("pool %s would have %d hosts away in zone %s: its budget allows %d",
				pool, n, h.Zone(), b.MaxAwayPerZone)
		}
		if n := c.awayInRack[h.Rack()]; b.MaxAwayPerRack > 0 && n > b.MaxAwayPerRack {
			return exceeded(h).Becausef("pool %s would have %d hosts away in rack %s: its budget allows %d",
				pool, n, h.Rack(), b.MaxAwayPerRack)
		}
	}
	return nil
}

func exceeded(h rock.Host) *rock.Failure {
	return rock.Fail("review", "host "+h.Name(), rock.BudgetExceeded, rock.NotRun)
}
