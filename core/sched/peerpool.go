package sched

// peerPool identifies a pool at a peer.
type peerPool struct {
	peer string
	pool string
}
