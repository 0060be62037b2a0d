package link

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// subprotocol is the WebSocket subprotocol, and the version of the messages.
const subprotocol = "bramleyrock.peer.v1"

// frameKind says what a frame is.
type frameKind string

// The kinds of frames.
const (
	frameCall   frameKind = "call"
	frameAnswer frameKind = "answer"
	frameCancel frameKind = "cancel"
	// frameGoodbye tells the dialler to send no more calls and to close the
	// connection once all are answered.
	frameGoodbye frameKind = "goodbye"
)

// operation names the call.
type operation string

// The operations.
const (
	opForward  operation = "forward"
	opBeat     operation = "beat"
	opChanges  operation = "changes"
	opSnapshot operation = "snapshot"
	// opResume asks what became of a forwarded request whose answer was lost.
	opResume operation = "resume"
)

// frame is the envelope of every message after the handshake.
type frame struct {
	Kind frameKind `cbor:"1,keyasint"`
	ID   uint64    `cbor:"2,keyasint"`
	// Op is set in calls.
	Op operation `cbor:"3,keyasint,omitempty"`
	// Within is the time left to the deadline in milliseconds, in calls. It is
	// relative, so that the clocks of two hosts are never compared.
	Within int64 `cbor:"4,keyasint,omitempty"`
	// Body is the form that belongs to the operation.
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	// Failure is set in answers of calls that failed.
	Failure *failureForm `cbor:"6,keyasint,omitempty"`
}

// The limits of the decoder guard against messages that are small on the wire
// and large in memory.
const (
	maxNestedLevels  = 8
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 10
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Decode checks one message as a peer would receive it: the frame, and the
// body that belongs to its operation.
func Decode(data []byte) error {
	f, err := decodeFrame(data)
	if err != nil {
		return err
	}
	if f.Kind != frameCall {
		return nil
	}
	_, err = decodeCall(f.Op, f.Body)
	return err
}

func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := decoder.Unmarshal(data, &f); err != nil {
		return frame{}, fmt.Errorf("decode frame: %w", err)
	}
	switch f.Kind {
	case frameCall, frameAnswer, frameCancel, frameGoodbye:
		return f, nil
	}
	return frame{}, fmt.Errorf("decode frame: unknown kind %q", f.Kind)
}

// decodeCall returns the decoded body of a call.
func decodeCall(op operation, body []byte) (any, error) {
	var form any
	switch op {
	case opForward:
		form = &requestForm{}
	case opBeat:
		form = &beatForm{}
	case opChanges:
		form = &changesForm{}
	case opResume:
		form = &resumeForm{}
	case opSnapshot:
		return nil, nil
	default:
		return nil, fmt.Errorf("decode call: unknown operation %q", op)
	}
	if err := decoder.Unmarshal(body, form); err != nil {
		return nil, fmt.Errorf("decode %s: %w", op, err)
	}
	return form, nil
}
