package eject

// State is the state of a host's health.
type State string

// The states of a host.
const (
	// Healthy means that the host is in full use.
	Healthy State = "healthy"
	// Ejected means that the host gets no work.
	Ejected State = "ejected"
	// Returning means that the host gets little work until it has proved
	// itself.
	Returning State = "returning"
)
