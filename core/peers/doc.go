// Package peers holds an entry's view of the other entries, its peers: which of
// them are alive, slow, leaving or gone, and to which a request should be
// forwarded.
//
// A peer without recent heartbeats is slow, never gone: it may be paused or
// partitioned, and it may continue later. An incarnation of a peer is gone only on
// evidence: its status row says so, or a newer incarnation under the same name
// has replaced it. Heartbeats and status rows of an older incarnation are ignored,
// however late they arrive.
//
// # Usage
//
//	view := peers.NewView(self, peers.Limits{})
//	view.RecordHeartbeat(now, heartbeat, roundTrip)
//	view.RecordStatuses(statuses)
//	for _, info := range view.Alive(now) {
//		use(info.Heartbeat(), info.RoundTrip())
//	}
//	name, ok := peers.Choose("tins", ownWait, view.Alive(now))
//
// A View is not safe for concurrent use.
package peers
