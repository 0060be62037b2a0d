package rock

import "context"

// Peer is another entry, to which calls can be made.
type Peer interface {
	// Member returns the peer's identity in its last heartbeat.
	Member() Member
	// Forward sends a request to the peer and returns its answer. Every error
	// carries a verdict.
	Forward(ctx context.Context, r Request) (Answer, error)
	// SendHeartbeat sends a heartbeat and returns the peer's heartbeat.
	SendHeartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// Changes returns up to limit changes after the revision, in order. It
	// returns a [NotFound] failure if the peer no longer has them.
	Changes(ctx context.Context, after Revision, limit int) ([]Change, error)
	// Snapshot returns all records in force at the peer and their revision.
	Snapshot(ctx context.Context) (Revision, []Record, error)
}
