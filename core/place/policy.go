package place

// Policy says how a host is chosen among the free hosts of a pool.
type Policy string

// The policies.
const (
	// TwoChoices takes two hosts at random and chooses the one with the lower
	// load.
	TwoChoices Policy = "two_choices"
	// Random chooses a host at random.
	Random Policy = "random"
	// RoundRobin chooses the hosts one after the other.
	RoundRobin Policy = "round_robin"
	// LeastInFlight chooses the host with the lowest load of all; its cost grows
	// with the pool.
	LeastInFlight Policy = "least_in_flight"
)
