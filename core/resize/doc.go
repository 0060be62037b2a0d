// Package resize decides how many hosts move between pools.
//
// The load it answers: the queues of a site surge by turns. One pool has more
// work than it holds for some seconds, while the others are almost idle. A
// move takes 1.5 s and costs about as much as a host that idles for that time,
// so hosts follow the work: they come from standby and from pools with more
// than they need, and go to standby when nobody has needed them for a while.
// They are ordered for the demand that is expected when they arrive, and the pool
// whose turn is next keeps more of them than those that have surged of late.
//
// All owners of cells make the same plan from what the cells tell of
// themselves, and each moves only the hosts of its own pool.
//
// # Usage
//
//	var d resize.Demand
//	d.Arrive(now, coreSeconds)
//	want, keep := d.Want(now, readyWork, lastingCores)
//	var a resize.Activity
//	a.Note(now, d.Mean(now), evenCores)
//	rest, surged := a.Rest(now)
//	moves := resize.Plan(pools)
package resize
