package oper

import (
	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/core/record"
)

// checkManualEdits refuses edits that only the execution of a move may make: an
// operator cannot move a host to another pool by editing its record.
func checkManualEdits(c *feed.Config, codec record.Codec, records []rock.Record) error {
	for _, r := range records {
		current, ok := c.Record(r.Key())
		var err error
		switch r.Key().Kind() {
		case rock.KindHost:
			err = checkManualHostEdit(codec, r, current, ok)
		case rock.KindMove:
			err = checkManualMoveEdit(codec, r, current, ok)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// refuseRecord returns the error that refuses a record of a change.
func refuseRecord(r rock.Record, format string, args ...any) error {
	return rock.Fail("change", r.Key().String(), rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// checkManualHostEdit refuses an edit that takes a host out of its pool or changes
// its generation, since only a move may do so.
func checkManualHostEdit(codec record.Codec, r, current rock.Record, exists bool) error {
	next, err := record.DecodeAs[record.Host](codec, r)
	if err != nil || !exists {
		return nil // An invalid body is refused later, together with all others.
	}
	old, err := record.DecodeAs[record.Host](codec, current)
	if err != nil {
		return err
	}
	from, to := old.Spec(), next.Spec()
	switch {
	case from.Pool != to.Pool && from.Pool != "":
		return refuseRecord(r, "field pool: got %q: the host is in pool %q: want a move record instead", to.Pool, from.Pool)
	case from.Pool == to.Pool && from.Generation != to.Generation:
		return refuseRecord(r, "field generation: got %d: want %d, as only a move changes it", to.Generation, from.Generation)
	}
	return nil
}

// checkManualMoveEdit refuses an edit of a move's state other than to cancel it. A
// new move must be pending.
func checkManualMoveEdit(codec record.Codec, r, current rock.Record, exists bool) error {
	next, err := record.DecodeAs[record.Move](codec, r)
	if err != nil {
		return nil // An invalid body is refused later, together with all others.
	}
	state := next.Spec().State
	if !exists {
		if state != record.MovePending {
			return refuseRecord(r, "field state: got %q: want %q for a new move", state, record.MovePending)
		}
		return nil
	}
	old, err := record.DecodeAs[record.Move](codec, current)
	if err != nil {
		return err
	}
	if oldState := old.Spec().State; state != oldState && state != record.MoveCancelled {
		return refuseRecord(r, "field state: got %q: want %q or %q", state, oldState, record.MoveCancelled)
	}
	return nil
}
