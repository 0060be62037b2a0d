// Package plan decides how many hosts each pool should have, and proposes the
// few moves that are worth their cost.
//
// A [Demand] records how many slots a pool needed and for which share of the
// time, so that a surge of seconds weighs only seconds and a lasting change gains
// weight with every hour. It estimates the mean shortfall of a pool of n hosts and
// the number of hosts that keeps the shortfall below a limit.
//
// A [Planner] compares, for each pair of pools, what a host is worth in the one
// and in the other. It proposes a move only if the gain has exceeded the cost at
// every evaluation during a stabilisation window. A host that has moved is not
// moved again during a cooldown.
//
// # Usage
//
//	p := plan.New(plan.Settings{Weights: plan.PreferFewMoves()})
//	p.Observe(now, plan.Sample{Pool: "tins", Demand: 37, Hosts: 10, Unavailable: 1})
//	for _, m := range p.Moves(now, fleet) {
//		fmt.Println(m.Host(), m.From(), m.To(), m.Why())
//		p.RecordMove(now, m)
//	}
package plan
