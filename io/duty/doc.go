// Package duty runs the duties that must have one holder among all entries:
// moving hosts between pools, running waves in each availability zone, the
// capacity plan, and the rounds of other parts.
//
// Each duty is held through a lease row in the platform's table. The runner
// takes and renews the leases, runs a round of each duty that it holds, and
// guards every write of a round by the lease, so that a holder which was
// paused past its lease cannot write.
//
// # Usage
//
//	r := duty.New(duty.Settings{
//		Name: "e1", Table: table, Changer: changer, Fleet: follower,
//		HostList: hosts, Roster: roster, Budgets: reviewer,
//		Now: time.Now, Log: log, Scope: scope,
//	})
//	g.Go("duties", r.Run)
//	...
//	for _, w := range r.Status(now) {
//		fmt.Println(w.Subject(), w.WaitsFor(), w.Since())
//	}
package duty
