package record

// MoveState is the state of a move.
type MoveState string

// The states of a move.
const (
	// MovePending means that the move has not started.
	MovePending MoveState = "wanted"
	// MoveDraining means that the host is closed to new work.
	MoveDraining MoveState = "draining"
	// MoveReleased means that no entry can run work of the old pool on the host
	// any more.
	MoveReleased MoveState = "released"
	// MoveJoining means that the host's record has the new pool and generation.
	MoveJoining MoveState = "joining"
	// MoveDone means that the host serves the new pool.
	MoveDone MoveState = "done"
	// MoveCancelled means that the host stays in the old pool.
	MoveCancelled MoveState = "cancelled"
)

// Ended reports whether the state is final.
func (s MoveState) Ended() bool { return s == MoveDone || s == MoveCancelled }
