package forms

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Move is the body of a move record.
type Move struct {
	Host  string           `json:"host"`
	From  string           `json:"from"`
	To    string           `json:"to"`
	State record.MoveState `json:"state"`
	// Since is when the state was reached.
	Since time.Time `json:"since,omitzero"`
	// After is the last revision in which the host is known to be open.
	After rock.Revision `json:"after,omitempty"`
	// WaitsFor says why the move does not go on.
	WaitsFor string `json:"waits_for,omitempty"`
	// CountedOut names silent entries that an operator vouches for, each as
	// "<name>/<incarnation>".
	CountedOut []string `json:"counted_out,omitempty"`
}

// DecodeMove returns the body of a move record.
func DecodeMove(r rock.Record) (Move, error) {
	var m Move
	return m, decode(r, &m)
}
