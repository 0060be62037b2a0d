package plan

// Weights holds the relative costs in a deployment, in slots of mean shortfall per
// unit.
type Weights struct {
	// Move is the cost of moving one host.
	Move float64
	// RollOut is the cost of one more round of a maintenance wave. A wave takes as
	// many rounds as the pool's hosts divided by its spare hosts.
	RollOut float64
}

// PreferFewMoves returns the weights of a deployment in which moves of hosts are
// costly and must be justified.
func PreferFewMoves() Weights { return Weights{Move: 2, RollOut: 0.05} }

// PreferFastRollOut returns the weights of a deployment in which changes are rolled
// out continuously and waves must be short.
func PreferFastRollOut() Weights { return Weights{Move: 0.5, RollOut: 0.5} }
