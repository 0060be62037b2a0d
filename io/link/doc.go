// Package link joins entries by WebSocket connections that carry CBOR
// messages.
//
// A [Set] dials every other entry that it knows and keeps one link to each;
// calls share the link and are told apart by id. A [Server] answers the calls
// of the entries that dial this one. Both sides prove that they know the
// shared secret, which itself never crosses the connection; the messages after
// that are not encrypted.
//
// A heartbeat is sent about once a second over the same link as the calls. A
// link whose heartbeat is not answered in time is closed and dialled again, so
// that a connection that went silent is replaced.
//
// Every error of a call carries a verdict. A call that was not handed to the
// connection is not_run. A call whose answer was lost is may_have_run. Any
// other failure has the verdict that the peer gave.
//
// # Usage
//
//	settings := link.Settings{Self: self, Secret: secret, Seeds: seeds, Server: engine, Beat: beat}
//	server := link.NewServer(settings)
//	set := link.NewSet(settings)
//	group.Go("peers", set.Run)
//	for _, v := range set.Alive(now) {
//		answer, err := v.Peer().Forward(ctx, request)
//	}
package link
