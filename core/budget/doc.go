// Package budget keeps the availability budgets of pools: it refuses changes
// that would voluntarily take away more hosts than a budget allows.
//
// A host is available if it is in the pool, open, and live in the platform's
// list as last seen. Hosts that failed, are being moved or are in a wave are
// therefore all counted as away. A failure may break a budget; then every
// further voluntary step of that pool is refused.
//
// # Usage
//
//	r := budget.New(budget.Settings{})
//	r.Observe(now, hosts)
//	err := r.Review(now, fleet, edits)
//
// All accepted changes are put in one order by the table's head row. A review
// of edits against the configuration at one revision therefore holds when the
// change is committed as the next revision; otherwise the change conflicts and
// is reviewed again.
package budget
