// Package peers decides what an entry believes about the other entries: which
// are alive, which are slow, leaving or gone, and to which of them a request
// is worth forwarding.
//
// Silence is never taken for death. A peer that was not heard from is slow: it
// may be paused or cut off, and it may wake up. A peer is gone only on
// evidence, which is a status row that says so or a newer incarnation under
// the same name. A heartbeat of an older incarnation never replaces what is
// known of a newer one, however late it arrives.
//
// # Usage
//
//	view := peers.NewView(self, peers.Limits{})
//	view.Hear(now, heartbeat, roundTrip)
//	view.Learn(now, statuses)
//	for _, s := range view.Alive(now) {
//		use(s.Heartbeat(), s.RoundTrip())
//	}
//	name, ok := peers.Choose("tins", ownWait, view.Alive(now))
//
// A View is not safe for concurrent use.
package peers
