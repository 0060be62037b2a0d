package claim

// Result is the result of claiming a key.
type Result struct {
	state   State
	outcome Outcome
}

// State returns whether the key is new, or the state of the earlier claim.
func (c Result) State() State { return c.state }

// Outcome returns the outcome of a claim whose state is [Settled].
func (c Result) Outcome() Outcome { return c.outcome }
