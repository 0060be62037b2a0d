package claim

// Claimed is the result of claiming a key.
type Claimed struct {
	state   State
	outcome Outcome
}

// State returns the state of the claim.
func (c Claimed) State() State { return c.state }

// Outcome returns the outcome of a settled claim.
func (c Claimed) Outcome() Outcome { return c.outcome }
