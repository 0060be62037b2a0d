package lease

// Action is what an entry should do about a lease.
type Action string

// The actions.
const (
	// Wait means that another entry holds the lease.
	Wait Action = "wait"
	// Acquire means that the lease is free or lapsed and should be taken with the
	// next epoch.
	Acquire Action = "take"
	// Renew means that the entry holds the lease and should extend it.
	Renew Action = "renew"
	// Hold means that the entry holds the lease and need not write.
	Hold Action = "hold"
)
