// Package duty runs background work, called duties, that at most one entry may
// do at a time: moving hosts between pools, running the maintenance waves of
// each availability zone, planning capacity, and duties of other packages.
//
// The holder of a duty is the entry that holds its lease, a row in the
// platform's table. A [Runner] acquires and renews leases and runs a round of
// each held duty at a fixed interval. Every write of a round is conditional on
// the lease row, so that the writes of a holder that was paused until after its
// lease had expired fail once another entry has taken over.
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
