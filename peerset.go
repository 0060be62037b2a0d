package rock

import "time"

// PeerSet is the set of known peers.
type PeerSet interface {
	// Alive returns the peers that sent a heartbeat recently and are not shutting
	// down, those of the same availability zone first.
	Alive(now time.Time) []PeerView
	// Find returns the peer with that name, alive or not, and false if it is
	// unknown.
	Find(name string) (PeerView, bool)
}
