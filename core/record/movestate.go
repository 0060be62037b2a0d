package record

// MoveState is the state of a move.
type MoveState string

// The states of a move.
const (
	// MovePending means that the move waits for its turn.
	MovePending MoveState = "wanted"
	// MoveDraining means that the host takes no new work.
	MoveDraining MoveState = "draining"
	// MoveReleased means that nothing can act on the old pool any more.
	MoveReleased MoveState = "released"
	// MoveJoining means that the host has its new pool and generation.
	MoveJoining MoveState = "joining"
	// MoveDone means that the host serves its new pool.
	MoveDone MoveState = "done"
	// MoveCancelled means that the host stays in its old pool.
	MoveCancelled MoveState = "cancelled"
)

// Ended reports whether the state is final.
func (s MoveState) Ended() bool { return s == MoveDone || s == MoveCancelled }
