package rock

// HostAspect is the part of a host's line whose changes a reader of the host
// list wants to be told.
type HostAspect string

// The aspects of a host's line.
const (
	// StateChanges are changes of the state and the boots.
	StateChanges HostAspect = "states"
	// StateAndLeaseChanges are these, and changes between no lease and some. A fleet at
	// work has many of them.
	StateAndLeaseChanges HostAspect = "leases"
)
