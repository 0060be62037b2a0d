package rock

import "context"

// PeerServer serves the calls that peers make through [Peer].
type PeerServer interface {
	// ServeForward runs a request that a peer forwarded.
	ServeForward(ctx context.Context, r Request) (Answer, error)
	// ServeHeartbeat records a peer's heartbeat and returns this entry's own.
	ServeHeartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// ServeChanges returns up to limit changes after the revision; see
	// [Peer.Changes].
	ServeChanges(ctx context.Context, after Revision, limit int) ([]Change, error)
	// ServeSnapshot returns all records in force and their revision.
	ServeSnapshot(ctx context.Context) (Revision, []Record, error)
}
