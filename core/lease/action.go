package lease

// Action is what an entry has to do next about a lease.
type Action string

// The actions.
const (
	// Wait means that another entry holds the lease, or may still act on it.
	Wait Action = "wait"
	// Acquire means that the lease is free or has expired, and the entry should
	// acquire it with the next epoch.
	Acquire Action = "take"
	// Renew means that the entry holds the lease and should renew it.
	Renew Action = "renew"
	// Hold means that the entry holds the lease and need not renew it yet.
	Hold Action = "hold"
)
