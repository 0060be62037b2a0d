package rock

import "time"

// PeerSet is the other entries, as far as they are known.
type PeerSet interface {
	// Alive returns the peers that were heard from lately and are not
	// leaving, those of the own availability zone first.
	Alive(now time.Time) []PeerView
	// Find returns the peer with that name, whether alive or not.
	Find(name string) (PeerView, bool)
}
