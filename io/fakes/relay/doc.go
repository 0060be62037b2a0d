// Package relay is a TCP relay for tests, with switches that break the link
// between its two ends.
//
// A relay listens on a loopback address and joins each connection to its
// target. The two directions are [Calls], from the client to the target, and
// [Answers], back. A [Mode] holds for all connections, also new ones;
// [Relay.Silence] holds for those that are open now, as when something between
// the two ends has lost track of them.
//
// # Usage
//
//	r, err := relay.New(serverAddress)
//	if err != nil {
//		return err
//	}
//	defer r.Close()
//	client := dial(r.Address())
//
//	r.Set(relay.Answers, relay.Stall) // answers stay on the way
//	r.Silence()                       // open connections never speak again
//	r.Refuse(true)                    // new connections fail
//	r.Cut()                           // open connections break
package relay
