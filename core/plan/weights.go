package plan

// Weights say what matters to a deployment. Each is the price of one unit in
// slots that are lacking on average.
type Weights struct {
	// Move is the price of one move of a host.
	Move float64
	// RollOut is the price of one more round of a maintenance wave, which
	// takes as many rounds as a pool's hosts go into its spare hosts.
	RollOut float64
}

// PreferFewMoves returns the weights of a deployment in which every move is
// questioned.
func PreferFewMoves() Weights { return Weights{Move: 2, RollOut: 0.05} }

// PreferFastRollOut returns the weights of a deployment in which changes are rolled
// out all the time.
func PreferFastRollOut() Weights { return Weights{Move: 0.5, RollOut: 0.5} }
