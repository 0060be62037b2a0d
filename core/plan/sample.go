package plan

// Sample is the state of a pool at one time.
type Sample struct {
	// Pool is the pool's name.
	Pool string
	// Demand is the number of slots that the pool's work needs: its tasks in
	// flight and its waiting requests.
	Demand float64
	// Hosts is the number of the pool's hosts.
	Hosts int
	// Unavailable is the number of these hosts that are not available.
	Unavailable int
}
