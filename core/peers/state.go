package peers

// State is the state of a peer as seen by an entry.
type State string

// The states of a peer.
const (
	// Alive means that a heartbeat of the peer was received recently.
	Alive State = "alive"
	// Slow means that no heartbeat of the peer was received recently. The peer
	// may be paused or partitioned, and it may still act.
	Slow State = "slow"
	// Leaving means that the peer reported that it is shutting down.
	Leaving State = "leaving"
	// Gone means that the peer's status row says that this incarnation has ended.
	Gone State = "gone"
)
