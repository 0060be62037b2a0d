package move

import (
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Reviewer implements [rock.Reviewer]. It refuses changes of a host's pool, address
// or zone that bypass the states of a move, and changes of a move that skip a state.
type Reviewer struct{}

var _ rock.Reviewer = Reviewer{}

// Review implements [rock.Reviewer].
func (Reviewer) Review(_ time.Time, before rock.Fleet, edits []rock.Edit) error {
	c := change{before: before, edits: map[rock.Key]rock.Edit{}}
	for _, e := range edits {
		c.edits[e.Key()] = e
	}
	for _, e := range edits {
		var err error
		switch e.Key().Kind() {
		case rock.KindHost:
			err = c.checkHost(e)
		case rock.KindMove:
			err = c.checkMove(e)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// change is a change under review.
type change struct {
	before rock.Fleet
	edits  map[rock.Key]rock.Edit
}

// after returns the record as it would be after the change.
func (c change) after(key rock.Key) (rock.Record, bool) {
	e, ok := c.edits[key]
	if !ok {
		return c.before.Record(key)
	}
	if e.To() == nil {
		return rock.Record{}, false
	}
	return *e.To(), true
}

// refuse returns the error of an edit that is not allowed.
func refuse(e rock.Edit, format string, args ...any) error {
	return rock.Fail("review", e.Key().String(), rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// checkHost checks the edit of an existing host.
func (c change) checkHost(e rock.Edit) error {
	if e.From() == nil {
		return nil
	}
	was, err := record.HostSpecOf(*e.From())
	if err != nil {
		return refuse(e, "%w", err)
	}
	if e.To() == nil {
		if was.Pool != "" {
			return refuse(e, "the host is in pool %q: move it to no pool before it is deleted", was.Pool)
		}
		return nil
	}
	is, err := record.HostSpecOf(*e.To())
	if err != nil {
		return refuse(e, "%w", err)
	}
	if was.Pool != "" && (was.Address != is.Address || was.Zone != is.Zone) {
		return refuse(e, "the host is in pool %q: move it to no pool before its address or zone changes", was.Pool)
	}
	if was.Pool != is.Pool && was.Pool != "" && !c.includesJoin(e.Key().Name(), was.Pool, is.Pool) {
		return refuse(e, "the pool cannot change from %q to %q without a move of the host", was.Pool, is.Pool)
	}
	if is.ClosedBy != was.ClosedBy && c.needsClosed(was.ClosedBy, is) {
		return refuse(e, "the host is closed for %s: cancel that before the host is opened or closed for another reason", was.ClosedBy)
	}
	return nil
}

// includesJoin reports whether the change includes the joining step of a move of the
// host from one pool to the other.
func (c change) includesJoin(host, from, to string) bool {
	for key, e := range c.edits {
		if key.Kind() != rock.KindMove || e.From() == nil || e.To() == nil {
			continue
		}
		was, err := record.MoveSpecOf(*e.From())
		if err != nil || was.State != record.MoveReleased {
			continue
		}
		is, err := record.MoveSpecOf(*e.To())
		if err == nil && is.State == record.MoveJoining && is.Host == host && is.From == from && is.To == to {
			return true
		}
	}
	return false
}

// needsClosed reports whether the move or wave for which a host was closed still
// needs it closed after the change. Is describes the host after the change.
func (c change) needsClosed(closedBy string, is record.HostSpec) bool {
	key, err := rock.ParseKey(closedBy)
	if closedBy == "" || err != nil {
		return false
	}
	r, ok := c.after(key)
	if !ok {
		return false
	}
	switch key.Kind() {
	case rock.KindMove:
		m, err := record.MoveSpecOf(r)
		return err != nil || !m.State.Ended() && m.State != record.MovePending
	case rock.KindWave:
		w, err := record.WaveSpecOf(r)
		done := is.Maintenance != nil && is.Maintenance.Wave == key.Name() && is.Maintenance.Step == record.StepDone
		return err != nil || !w.State.Ended() && !done
	}
	return false
}

// nextStates holds the states that may follow each state, separated by spaces.
var nextStates = map[record.MoveState]string{
	"":                   "wanted",
	record.MovePending:   "wanted draining cancelled",
	record.MoveDraining:  "draining wanted released cancelled",
	record.MoveReleased:  "released wanted joining cancelled",
	record.MoveJoining:   "joining done cancelled",
	record.MoveDone:      "done",
	record.MoveCancelled: "cancelled",
}

// checkMove checks the edit of a move.
func (c change) checkMove(e rock.Edit) error {
	var was, is record.MoveSpec
	var err error
	if e.From() != nil {
		if was, err = record.MoveSpecOf(*e.From()); err != nil {
			return refuse(e, "%w", err)
		}
	}
	if e.To() == nil {
		if !was.State.Ended() || c.closedFor(was.Host, e.Key()) {
			return refuse(e, "the move is %s: cancel it before it is deleted", was.State)
		}
		return nil
	}
	if is, err = record.MoveSpecOf(*e.To()); err != nil {
		return refuse(e, "%w", err)
	}
	if allowed := nextStates[was.State]; !strings.Contains(" "+allowed+" ", " "+string(is.State)+" ") {
		return refuse(e, "state %q cannot follow %q: want one of: %s", is.State, was.State, allowed)
	}
	if e.From() != nil && (was.Host != is.Host || was.From != is.From || was.To != is.To) {
		return refuse(e, "host, from and to of a move cannot change: cancel it and create another move")
	}
	if was.State == record.MovePending && is.State == record.MoveDraining && !c.closedFor(is.Host, e.Key()) {
		return refuse(e, "state draining requires host %s to be closed in the same change", is.Host)
	}
	return nil
}

// closedFor reports whether, after the change, the host is closed for the record
// with that key.
func (c change) closedFor(host string, key rock.Key) bool {
	r, ok := c.after(rock.NewKey(rock.KindHost, host))
	if !ok {
		return false
	}
	h, err := record.HostSpecOf(r)
	return err == nil && !h.Open && h.ClosedBy == key.String()
}
