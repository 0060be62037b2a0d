package claim

// State is the state of a claimed key.
type State string

// The states of a claim.
const (
	// Fresh means that the key was claimed just now: the request must be run.
	Fresh State = "fresh"
	// Running means that an earlier send of the key is running.
	Running State = "running"
	// Settled means that an earlier send of the key has ended.
	Settled State = "settled"
)
