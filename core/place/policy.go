package place

// Policy is a way of choosing among the free hosts of a pool.
type Policy string

// The policies.
const (
	// TwoChoices takes two hosts at random and chooses the less loaded one.
	TwoChoices Policy = "two_choices"
	// Random chooses any host.
	Random Policy = "random"
	// RoundRobin chooses the hosts in turn.
	RoundRobin Policy = "round_robin"
	// LeastInFlight compares all hosts; its cost grows with the pool.
	LeastInFlight Policy = "least_in_flight"
)
