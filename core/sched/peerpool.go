package sched

// peerPool names a pool at a peer.
type peerPool struct {
	peer string
	pool string
}
