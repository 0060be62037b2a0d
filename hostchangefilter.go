package rock

// HostChangeFilter selects the changes of the platform's host list that a reader
// receives.
type HostChangeFilter string

// The filters.
const (
	// StateChanges selects changes of a host's state and of its number of boots.
	StateChanges HostChangeFilter = "states"
	// StateAndLeaseChanges selects also changes between no lease and one or
	// more. These are frequent in a busy fleet.
	StateAndLeaseChanges HostChangeFilter = "leases"
)
