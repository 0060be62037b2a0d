package rock

// HostChangeFilter is the part of a host's line whose changes a reader of the host
// list wants to be told.
type HostChangeFilter string

// The aspects of a host's line.
const (
	// StateChanges are changes of the state and the boots.
	StateChanges HostChangeFilter = "states"
	// StateAndLeaseChanges are these, and changes between no lease and some. A fleet at
	// work has many of them.
	StateAndLeaseChanges HostChangeFilter = "leases"
)
