// Package budget enforces the availability budgets of pools. It refuses changes
// of the configuration that take more hosts away from a pool than its budgets
// allow.
//
// A host is available if it is in the pool, open, and listed as live in the last
// list of hosts that was read from the platform. All other hosts of the pool are
// away, whether they failed, are being moved or are being maintained in a wave. A
// failure cannot be refused and may violate a budget. While a budget is violated,
// every change that would take another host away from the pool is refused. Such
// changes are called voluntary.
//
// # Usage
//
//	r := budget.New(budget.Settings{})
//	r.Observe(now, hosts)
//	err := r.Review(now, fleet, edits)
//
// The head row of the table puts all accepted changes in one order. The result of
// a review against one revision is therefore still valid if the change is
// committed as the next revision. Otherwise the change conflicts and is reviewed
// again.
package budget
