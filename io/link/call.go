package link

import "sync/atomic"

// callState is how far a call has come on the dialling side.
type callState = int32

// The states of a call.
const (
	// callQueued means that no byte was handed to the connection.
	callQueued callState = iota
	// callSent means that the frame may have reached the peer.
	callSent
	// callDropped means that the call ended before it was sent.
	callDropped
)

// call is one call in flight on the dialling side.
type call struct {
	frame frame
	state atomic.Int32
	reply chan frame
}

func newCall(f frame) *call { return &call{frame: f, reply: make(chan frame, 1)} }

// send claims the call for sending and reports whether it is still wanted.
func (c *call) send() bool { return c.state.CompareAndSwap(callQueued, callSent) }

// drop gives the call up and reports whether it was never sent.
func (c *call) drop() bool {
	return c.state.CompareAndSwap(callQueued, callDropped) || c.state.Load() == callDropped
}
