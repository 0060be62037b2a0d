package trace

import (
	"cmp"
	"slices"
)

// StateListed is the state of a [HostClosed] event if the host is closed because
// of the platform's list, and not by a change of this system.
const StateListed = "listed"

// budgetHolds checks that no change of this system takes an available host away
// from a pool and leaves the pool with fewer available hosts than its budget. A
// host is available if it is open and has not failed. Configuration changes are
// applied in the order of their revisions, since their times come from the clocks
// of different entries.
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

// byRevision returns the events with the changes of hosts and budgets sorted by
// revision among their positions. All other events, and changes without a
// revision, keep their positions.
func byRevision(events []Event) []Event {
	var positions []int
	var changes []Event
	for n, e := range events {
		if e.Revision > 0 && changesBudget(e.Kind) {
			positions, changes = append(positions, n), append(changes, e)
		}
	}
	slices.SortStableFunc(changes, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
	ordered := slices.Clone(events)
	for i, n := range positions {
		ordered[n] = changes[i]
	}
	return ordered
}

// changesBudget reports whether events of the kind record a configuration change
// that affects a pool's budget or its available hosts.
func changesBudget(k Kind) bool {
	switch k {
	case HostAdded, HostClosed, HostOpened, BudgetSet:
		return true
	}
	return false
}
