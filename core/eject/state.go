package eject

// State is the state of a host's health.
type State string

// The states of a host.
const (
	// Healthy means that the host may use all its slots.
	Healthy State = "healthy"
	// Ejected means that the host is given no work.
	Ejected State = "ejected"
	// Returning means that the host is given little work after an ejection,
	// and more with each success.
	Returning State = "returning"
)
