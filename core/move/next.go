package move

import (
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/drain"
	"bramleyrock/core/record"
)

// Next returns the next step of the move that record r describes, given the
// configuration fleet and the view of entries and hosts that proves drains.
func Next(now time.Time, fleet rock.Fleet, r rock.Record, view drain.View) Step {
	m, err := record.MoveSpecOf(r)
	if err != nil {
		return waitingStep(r.Key().Name(), now, "a readable record: %v", err)
	}
	b := stepBuilder{now: now, fleet: fleet, view: view, record: r, move: m}
	hostRecord, ok := fleet.Record(rock.NewKey(rock.KindHost, m.Host))
	if !ok {
		return b.withoutHost()
	}
	b.hostRecord = hostRecord
	if b.host, err = record.HostSpecOf(hostRecord); err != nil {
		return b.wait("a readable record: %v", err)
	}
	return b.next()
}

// Undo returns the step that reopens the host of a draining move and sets the move
// back to its first state, where it waits until the budget allows it again. It
// returns true if there is such a step: the old pool has fallen below its budget
// meanwhile, and the host is live.
func Undo(now time.Time, fleet rock.Fleet, r rock.Record, room *budget.Headroom) (Step, bool) {
	m, err := record.MoveSpecOf(r)
	if err != nil || m.State != record.MoveDraining || !room.BelowBudget(m.From) {
		return Step{}, false
	}
	hostRecord, ok := fleet.Record(rock.NewKey(rock.KindHost, m.Host))
	if !ok {
		return Step{}, false
	}
	b := stepBuilder{now: now, fleet: fleet, record: r, move: m, hostRecord: hostRecord}
	if b.host, err = record.HostSpecOf(hostRecord); err != nil || !b.ownsHost() || !room.Live(m.Host) {
		return Step{}, false
	}
	b.host.Open, b.host.ClosedBy = true, ""
	return b.advance(record.MovePending, true), true
}

// stepBuilder holds the input of one decision. Its methods change copies of the host
// and the move, and return the step that writes them.
type stepBuilder struct {
	now        time.Time
	fleet      rock.Fleet
	view       drain.View
	record     rock.Record
	move       record.MoveSpec
	hostRecord rock.Record
	host       record.HostSpec
}

func (b stepBuilder) next() Step {
	switch b.move.State {
	case record.MovePending:
		return b.closeHost()
	case record.MoveDraining:
		return b.release()
	case record.MoveReleased:
		return b.join()
	case record.MoveJoining:
		return b.openHost()
	case record.MoveCancelled:
		return b.reopenHost()
	}
	return Step{move: b.name(), since: b.move.Since}
}

// closeHost closes the host in its old pool.
func (b stepBuilder) closeHost() Step {
	switch {
	case b.host.Pool != b.move.From:
		return b.end(record.MoveCancelled, "host %s is in pool %q, not in %q", b.move.Host, b.host.Pool, b.move.From)
	case b.host.ClosedBy != "" && b.host.ClosedBy != b.owner():
		return b.wait("host %s, which is closed for %s", b.move.Host, b.host.ClosedBy)
	}
	b.host.Open, b.host.ClosedBy = false, b.owner()
	b.move.LastOpenRevision = b.fleet.Revision()
	return b.advance(record.MoveDraining, true)
}

// release records that no entry can act on the host any more, once this is proved.
func (b stepBuilder) release() Step {
	if !b.ownsHost() {
		return b.advance(record.MovePending, false)
	}
	if b.host.Pool == "" {
		// No entry places work on a host without a pool, so entries do not report it.
		return b.advance(record.MoveReleased, true)
	}
	wait, ok := b.view.Drained(drain.Query{
		Host:         b.move.Host,
		Zone:         b.host.Zone,
		OpenRevision: b.move.LastOpenRevision,
		ClosedAt:     b.move.Since,
		CountedOut:   b.move.CountedOut,
	})
	if !ok {
		return b.wait("%s", wait)
	}
	return b.advance(record.MoveReleased, true)
}

// join puts the host into its new pool, under a new generation.
func (b stepBuilder) join() Step {
	if !b.ownsHost() {
		return b.advance(record.MovePending, false)
	}
	b.host.Pool = b.move.To
	b.host.Generation++
	return b.advance(record.MoveJoining, true)
}

// openHost opens the host in its new pool once the platform lists it as live. A
// host that is moved to no pool, perhaps because it is broken, stays closed.
func (b stepBuilder) openHost() Step {
	if !b.ownsHost() {
		return b.end(record.MoveDone, "host %s was opened by another change", b.move.Host)
	}
	if b.move.To == "" {
		b.host.ClosedBy = ""
		return b.advance(record.MoveDone, true)
	}
	if s, ok := b.view.Host(b.move.Host); !ok || s.State() != rock.HostLive {
		return b.wait("host %s to be live in the platform's list", b.move.Host)
	}
	b.host.Open, b.host.ClosedBy = true, ""
	return b.advance(record.MoveDone, true)
}

// reopenHost reopens the host of a cancelled move in the pool that it is in.
func (b stepBuilder) reopenHost() Step {
	if !b.ownsHost() {
		return Step{move: b.name(), since: b.move.Since}
	}
	b.host.Open, b.host.ClosedBy = true, ""
	return b.advance(record.MoveCancelled, true)
}

// withoutHost cancels the move, since its host does not exist.
func (b stepBuilder) withoutHost() Step {
	if b.move.State.Ended() {
		return Step{move: b.name(), since: b.move.Since}
	}
	return b.end(record.MoveCancelled, "host %s does not exist", b.move.Host)
}

func (b stepBuilder) name() string { return b.record.Key().Name() }

// owner returns the value of closed_by with which the move closes its host.
func (b stepBuilder) owner() string { return b.record.Key().String() }

// ownsHost reports whether the host is still closed for this move.
func (b stepBuilder) ownsHost() bool { return !b.host.Open && b.host.ClosedBy == b.owner() }

func (b stepBuilder) wait(format string, args ...any) Step {
	return waitingStep(b.name(), b.move.Since, format, args...)
}

// end returns the step to a final state, with the reason.
func (b stepBuilder) end(state record.MoveState, format string, args ...any) Step {
	b.move.WaitsFor = fmt.Sprintf(format, args...)
	return b.write(state, false)
}

// advance returns the step to the state. If withHost is true, the step writes the
// host too.
func (b stepBuilder) advance(state record.MoveState, withHost bool) Step {
	b.move.WaitsFor = ""
	return b.write(state, withHost)
}

// write returns the step that writes the move's record with the state and, if
// withHost is true, the host's record.
func (b stepBuilder) write(state record.MoveState, withHost bool) Step {
	b.move.State, b.move.Since = state, b.now.UTC()
	next, err := record.Rewrite(b.record, b.move)
	if err != nil {
		return b.wait("a readable record: %v", err)
	}
	s := Step{
		move:  b.name(),
		id:    fmt.Sprintf("move.%s.%d.%s", b.name(), b.record.Version(), state),
		why:   fmt.Sprintf("move %s of host %s: %s", b.name(), b.move.Host, state),
		since: b.move.Since,
	}
	if withHost {
		host, err := record.Rewrite(b.hostRecord, b.host)
		if err != nil {
			return b.wait("a readable record: %v", err)
		}
		s.records = append(s.records, host)
	}
	s.records = append(s.records, next)
	return s
}
