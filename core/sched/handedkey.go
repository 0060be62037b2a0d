package sched

// handedKey names a pool at a peer.
type handedKey struct {
	peer string
	pool string
}
