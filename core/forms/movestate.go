package forms

// MoveState is the state of a move.
type MoveState string

// The states of a move.
const (
	// MoveWanted means that the move was asked for and nothing was done yet.
	MoveWanted MoveState = "wanted"
	// MoveDraining means that the host is closed and its work in flight ends.
	MoveDraining MoveState = "draining"
	// MoveReleased means that nobody can act on the host any more.
	MoveReleased MoveState = "released"
	// MoveJoining means that the host is in its new pool, still closed.
	MoveJoining MoveState = "joining"
	// MoveDone means that the host is open in its new pool.
	MoveDone MoveState = "done"
	// MoveCancelled means that the move was given up.
	MoveCancelled MoveState = "cancelled"
)

// Ended reports whether a move in this state goes no further.
func (s MoveState) Ended() bool { return s == MoveDone || s == MoveCancelled }
