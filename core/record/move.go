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

// MoveSpec holds the parts of a [Move].
type MoveSpec struct {
	// Host is the host that moves.
	Host string
	// From is the pool that the host leaves; "" for none.
	From string
	// To is the pool that the host joins; "" for none.
	To string
	// State is how far the move is.
	State MoveState
	// Since is the time at which the state began.
	Since time.Time
	// LastOpenRevision is the last revision in which the host is known to be open.
	LastOpenRevision rock.Revision
	// WaitsFor says what the next state waits for.
	WaitsFor string
	// CountedOut names silent entries that an operator vouches for, each as
	// "<name>/<incarnation>", or "zone/<zone>" for a zone without an entry.
	CountedOut []string
}

// NewMove returns the move described by s.
func NewMove(s MoveSpec) Move { return Move{spec: s} }

// Spec returns a copy of the move's parts.
func (m Move) Spec() MoveSpec { return m.spec }

// With returns a copy of m as changed by the function; unknown fields are kept.
func (m Move) With(change func(s *MoveSpec)) Move {
	change(&m.spec)
	return m
}

// Extra returns the fields that this program does not know.
func (m Move) Extra() Extra { return m.extra }

// Kind implements [Body].
func (m Move) Kind() rock.Kind { return rock.KindMove }

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
