package targ

import (
	rock "bramleyrock"
)

// outcome is how a run ends: a whole answer or an error.
type outcome struct {
	answer rock.Answer
	err    error
}

// failed returns the outcome of a run that ends with an error.
func failed(err error) *outcome { return &outcome{err: err} }
