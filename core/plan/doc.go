// Package plan decides how many hosts each pool should have, and proposes the
// few moves that are worth their cost.
//
// A [Demand] remembers how many slots a pool needed, and for which share of the
// time, so that a surge of seconds weighs seconds and a lasting change weighs
// more with every hour. From it follow how many slots a pool of n hosts would
// lack on average, and the buffer that keeps the lack under a limit. A
// [Planner] compares, for each pair of pools, what a host is worth in the one
// and in the other. A move is proposed if its gain exceeds its price at every
// look for a whole hold time, and a host that moved rests before it moves
// again.
//
// # Usage
//
//	p := plan.New(plan.Settings{Weights: plan.MovesFirst()})
//	p.Observe(now, plan.Sample{Pool: "tins", Demand: 37, Hosts: 10, Away: 1})
//	for _, m := range p.Moves(now, fleet) {
//		fmt.Println(m.Host(), m.From(), m.To(), m.Why())
//	}
package plan
