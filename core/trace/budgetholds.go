package trace

import (
	"cmp"
	"slices"
)

// StateListed is the state of a [HostClosed] event if it was the platform that
// closed the host, and not an act of ours.
const StateListed = "listed"

// budgetHolds: no act of ours takes a host away from a pool that then has
// fewer hosts, up and open, than its budget. Hosts that failed are away
// already. Changes count in the order of their revisions, since their times come
// from the clocks of the entries that made them.
func budgetHolds(h *history, r *report) {
	b := &budgetTracker{hosts: map[string]*hostState{}, minAvailable: map[string]int{}}
	for _, e := range byRevision(h.events) {
		switch e.Kind {
		case BudgetSet:
			b.minAvailable[e.Pool] = e.MinAvailable
		case HostAdded:
			b.add(e, r)
		case HostClosed:
			b.close(e, r)
		case HostOpened:
			b.update(e.Host, func(s *hostState) { s.open = true })
		case HostLost:
			b.update(e.Host, func(s *hostState) { s.lost = true })
		case HostBack:
			b.update(e.Host, func(s *hostState) { s.lost = false })
		}
	}
}

// byRevision returns the events with the changes of hosts and budgets in the
// order of their revisions. All others, and changes without a revision, keep
// their places.
func byRevision(events []Event) []Event {
	var places []int
	var changes []Event
	for n, e := range events {
		if e.Revision > 0 && changesBudget(e.Kind) {
			places, changes = append(places, n), append(changes, e)
		}
	}
	slices.SortStableFunc(changes, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
	ordered := slices.Clone(events)
	for i, n := range places {
		ordered[n] = changes[i]
	}
	return ordered
}

// changesBudget reports whether a configuration change of that kind bears on a
// pool's budget.
func changesBudget(k Kind) bool {
	switch k {
	case HostAdded, HostClosed, HostOpened, BudgetSet:
		return true
	}
	return false
}
