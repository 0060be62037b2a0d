package claim

// State is the state of a claimed key.
type State string

// The states of a claim.
const (
	// Fresh means that this call claimed the key; the caller must run the
	// request.
	Fresh State = "fresh"
	// Running means that an earlier request with the key is running.
	Running State = "running"
	// Settled means that an earlier request with the key has ended and its
	// outcome is held.
	Settled State = "settled"
)
