// Package resize decides how many hosts to move between the pools of a site.
//
// It is built for queues that surge one after the other: for some seconds one
// pool has more work than it can run, while the others are almost idle. A move
// takes 1.5 s and costs about as much as a host that idles for that time, so
// hosts follow the demand. They come from standby and from pools that have more
// than they need, and return to standby once no pool has needed them for a
// while. Hosts are ordered for the demand that is forecast for their arrival.
// The pool that is likely to surge next keeps more hosts in reserve than those
// that have surged recently.
//
// Every owner of a cell computes the same plan from the heartbeats of all cells,
// and moves only the hosts of its own pool.
//
// # Usage
//
//	var d resize.Demand
//	d.AddArrival(now, coreSeconds)
//	want, retained := d.Estimate(now, runnableCoreSeconds, persistentCores)
//	var a resize.Activity
//	a.Observe(now, d.RecentRate(now), evenCores)
//	elapsed, surged := a.SinceSurge(now)
//	moves := resize.Plan(pools)
package resize
