package oper

import (
	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/core/record"
)

// checkByHand refuses what only a move's own steps may write: an operator
// cannot take a host from one pool to another by editing records.
func checkByHand(c *feed.Config, codec record.Codec, records []rock.Record) error {
	for _, r := range records {
		current, ok := c.Record(r.Key())
		var err error
		switch r.Key().Kind() {
		case rock.KindHost:
			err = checkHostByHand(codec, r, current, ok)
		case rock.KindMove:
			err = checkMoveByHand(codec, r, current, ok)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// refuse returns the refusal of a record of a change.
func refuse(r rock.Record, format string, args ...any) error {
	return rock.Fail("change", r.Key().String(), rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// checkHostByHand refuses to take a host out of its pool, or to set its
// generation, other than by a move.
func checkHostByHand(codec record.Codec, r, current rock.Record, exists bool) error {
	next, err := record.DecodeAs[record.Host](codec, r)
	if err != nil || !exists {
		return nil // A wrong body is refused with all others.
	}
	old, err := record.DecodeAs[record.Host](codec, current)
	if err != nil {
		return err
	}
	from, to := old.Spec(), next.Spec()
	switch {
	case from.Pool != to.Pool && from.Pool != "":
		return refuse(r, "field pool: got %q: the host is in pool %q: want a move record instead", to.Pool, from.Pool)
	case from.Pool == to.Pool && from.Generation != to.Generation:
		return refuse(r, "field generation: got %d: want %d, as only a move changes it", to.Generation, from.Generation)
	}
	return nil
}

func checkMoveByHand(codec record.Codec, r, current rock.Record, exists bool) error {
	next, err := record.DecodeAs[record.Move](codec, r)
	if err != nil {
		return nil // A wrong body is refused with all others.
	}
	state := next.Spec().State
	if !exists {
		if state != record.MovePending {
			return refuse(r, "field state: got %q: want %q for a new move", state, record.MovePending)
		}
		return nil
	}
	old, err := record.DecodeAs[record.Move](codec, current)
	if err != nil {
		return err
	}
	if was := old.Spec().State; state != was && state != record.MoveCancelled {
		return refuse(r, "field state: got %q: want %q or %q", state, was, record.MoveCancelled)
	}
	return nil
}
