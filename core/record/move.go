package record

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	rock "bramleyrock"
)

// Move is the content of the record of a host's move between pools.
type Move struct {
	spec  MoveSpec
	extra Extra
}

// MoveSpec holds the fields of a [Move].
type MoveSpec struct {
	// Host is the name of the host.
	Host string
	// From is the pool that the host leaves; "" for none.
	From string
	// To is the pool that the host joins; "" for none.
	To string
	// State is the state of the move.
	State MoveState
	// Since is the time at which the state began.
	Since time.Time
	// LastOpenRevision is the last revision in which the host is known to be open.
	LastOpenRevision rock.Revision
	// WaitsFor describes the condition for the next state, for operators.
	WaitsFor string
	// CountedOut lists unresponsive entries that, as an operator confirms, cannot
	// place work on the host any more, each as "<name>/<incarnation>", or
	// "zone/<zone>" for a zone without an entry.
	CountedOut []string
}

// NewMove returns the move described by s.
func NewMove(s MoveSpec) Move { return Move{spec: s} }

// Spec returns a copy of the move's fields.
func (m Move) Spec() MoveSpec { return m.spec }

// With returns a copy of m as modified by change; unknown fields are kept.
func (m Move) With(change func(s *MoveSpec)) Move {
	change(&m.spec)
	return m
}

// Extra returns the unknown fields.
func (m Move) Extra() Extra { return m.extra }

// Kind implements [Body].
func (m Move) Kind() rock.Kind { return rock.KindMove }

// moveFields are the fields of schema version 1.
var moveFields = []string{"host", "from", "to", "state", "since", "after", "waits_for", "counted_out"}

// Encode implements [Body].
func (m Move) Encode(int) (json.RawMessage, error) {
	s := m.spec
	o := object{"host": s.Host, "from": s.From, "to": s.To, "state": s.State}
	if !s.Since.IsZero() {
		o["since"] = s.Since.UTC()
	}
	if s.WaitsFor != "" {
		o["waits_for"] = s.WaitsFor
	}
	if s.LastOpenRevision > 0 {
		o["after"] = s.LastOpenRevision
	}
	if len(s.CountedOut) > 0 {
		o["counted_out"] = s.CountedOut
	}
	return o.encode(m.extra, moveFields)
}

// decodeMove decodes a move; f collects the invalid fields.
func decodeMove(f *fields) Move {
	s := MoveSpec{
		Host:     f.name("host", "the name of a host", true),
		From:     f.name("from", "the name of a pool", false),
		To:       f.name("to", "the name of a pool", false),
		State:    oneOf(f, "state", MovePending, MoveDraining, MoveReleased, MoveJoining, MoveDone, MoveCancelled),
		WaitsFor: f.text("waits_for"),
	}
	if s.From == s.To {
		f.addInvalid("to", []byte(strconv.Quote(s.To)), "another pool than the one in from")
	}
	s.Since = f.time("since")
	s.LastOpenRevision = rock.Revision(f.count("after", 0, math.MaxInt64, false))
	s.CountedOut = f.textList("counted_out")
	return Move{spec: s, extra: f.extra()}
}
