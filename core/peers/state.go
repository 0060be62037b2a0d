package peers

// State is what an entry believes about a peer.
type State string

// The states of a peer.
const (
	// Alive means that the peer was heard from lately.
	Alive State = "alive"
	// Slow means that the peer was not heard from lately. It may be paused or
	// cut off, and it may still act.
	Slow State = "slow"
	// Leaving means that the peer said that it is shutting down.
	Leaving State = "leaving"
	// Gone means that there is evidence that this incarnation cannot act.
	Gone State = "gone"
)
