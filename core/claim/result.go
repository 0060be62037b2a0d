package claim

// Result is the result of claiming a key.
type Result struct {
	state   State
	outcome Outcome
}

// State returns the state of the claim.
func (c Result) State() State { return c.state }

// Outcome returns the outcome of a settled claim.
func (c Result) Outcome() Outcome { return c.outcome }
