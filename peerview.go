package rock

import "time"

// PeerView is what is known of a peer.
type PeerView struct {
	peer      Peer
	heartbeat Heartbeat
	heardAt   time.Time
	roundTrip time.Duration
}

// NewPeerView returns a view of the peer: its last heartbeat, when that was
// heard, and the round-trip time to the peer.
func NewPeerView(peer Peer, heartbeat Heartbeat, heardAt time.Time, roundTrip time.Duration) PeerView {
	return PeerView{peer: peer, heartbeat: heartbeat, heardAt: heardAt, roundTrip: roundTrip}
}

// Peer returns the means to call the peer.
func (v PeerView) Peer() Peer { return v.peer }

// Heartbeat returns the last heartbeat heard.
func (v PeerView) Heartbeat() Heartbeat { return v.heartbeat }

// ReceivedAt returns the time of the last heartbeat.
func (v PeerView) ReceivedAt() time.Time { return v.heardAt }

// RoundTrip returns the round-trip time to the peer.
func (v PeerView) RoundTrip() time.Duration { return v.roundTrip }
