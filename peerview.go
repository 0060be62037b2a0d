package rock

import "time"

// PeerView is the known state of a peer.
type PeerView struct {
	peer       Peer
	heartbeat  Heartbeat
	receivedAt time.Time
	roundTrip  time.Duration
}

// NewPeerView returns a view of the peer with its last heartbeat, the time at
// which that was received, and the round-trip time to the peer.
func NewPeerView(peer Peer, heartbeat Heartbeat, receivedAt time.Time, roundTrip time.Duration) PeerView {
	return PeerView{peer: peer, heartbeat: heartbeat, receivedAt: receivedAt, roundTrip: roundTrip}
}

// Peer returns the peer, through which calls are made to it.
func (v PeerView) Peer() Peer { return v.peer }

// Heartbeat returns the last heartbeat received from the peer.
func (v PeerView) Heartbeat() Heartbeat { return v.heartbeat }

// ReceivedAt returns the time at which the last heartbeat was received.
func (v PeerView) ReceivedAt() time.Time { return v.receivedAt }

// RoundTrip returns the round-trip time to the peer.
func (v PeerView) RoundTrip() time.Duration { return v.roundTrip }
