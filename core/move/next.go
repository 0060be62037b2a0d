package move

import (
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/drain"
	"bramleyrock/core/record"
)

// Next returns the next step of the move in the record r, in the configuration
// fleet.
func Next(now time.Time, fleet rock.Fleet, r rock.Record, view drain.View) Step {
	m, err := record.MoveSpecOf(r)
	if err != nil {
		return waiting(r.Key().Name(), now, "a readable record: %v", err)
	}
	p := planner{now: now, fleet: fleet, view: view, record: r, move: m}
	hostRecord, ok := fleet.Record(rock.NewKey(rock.KindHost, m.Host))
	if !ok {
		return p.withoutHost()
	}
	p.hostRecord = hostRecord
	if p.host, err = record.HostSpecOf(hostRecord); err != nil {
		return p.wait("a readable record: %v", err)
	}
	return p.next()
}

// Undo returns the step that gives the host of a draining move back, if the
// pool that it leaves has fallen short of its budget meanwhile and the host
// would help. The move then waits until the budget allows it again.
func Undo(now time.Time, fleet rock.Fleet, r rock.Record, room *budget.Headroom) (Step, bool) {
	m, err := record.MoveSpecOf(r)
	if err != nil || m.State != record.MoveDraining || !room.BelowBudget(m.From) {
		return Step{}, false
	}
	hostRecord, ok := fleet.Record(rock.NewKey(rock.KindHost, m.Host))
	if !ok {
		return Step{}, false
	}
	p := planner{now: now, fleet: fleet, record: r, move: m, hostRecord: hostRecord}
	if p.host, err = record.HostSpecOf(hostRecord); err != nil || !p.owned() || !room.Live(m.Host) {
		return Step{}, false
	}
	p.host.Open, p.host.ClosedBy = true, ""
	return p.step(record.MovePending, true), true
}

// planner holds what one decision is made of.
type planner struct {
	now        time.Time
	fleet      rock.Fleet
	view       drain.View
	record     rock.Record
	move       record.MoveSpec
	hostRecord rock.Record
	host       record.HostSpec
}

func (p planner) next() Step {
	switch p.move.State {
	case record.MovePending:
		return p.start()
	case record.MoveDraining:
		return p.release()
	case record.MoveReleased:
		return p.join()
	case record.MoveJoining:
		return p.finish()
	case record.MoveCancelled:
		return p.reopen()
	}
	return Step{move: p.name(), since: p.move.Since}
}

// start closes the host in its old pool.
func (p planner) start() Step {
	switch {
	case p.host.Pool != p.move.From:
		return p.end(record.MoveCancelled, "host %s is in pool %q, not in %q", p.move.Host, p.host.Pool, p.move.From)
	case p.host.ClosedBy != "" && p.host.ClosedBy != p.owner():
		return p.wait("host %s, which is closed for %s", p.move.Host, p.host.ClosedBy)
	}
	p.host.Open, p.host.ClosedBy = false, p.owner()
	p.move.LastOpenRevision = p.fleet.Revision()
	return p.step(record.MoveDraining, true)
}

// release records the proof that nobody can act on the host any more.
func (p planner) release() Step {
	if !p.owned() {
		return p.step(record.MovePending, false)
	}
	if p.host.Pool == "" {
		// Nobody places on a host without a pool, so entries do not report it.
		return p.step(record.MoveReleased, true)
	}
	wait, ok := p.view.Drained(drain.Query{
		Host:         p.move.Host,
		Zone:         p.host.Zone,
		OpenRevision: p.move.LastOpenRevision,
		ClosedAt:     p.move.Since,
		CountedOut:   p.move.CountedOut,
	})
	if !ok {
		return p.wait("%s", wait)
	}
	return p.step(record.MoveReleased, true)
}

// join puts the host into its new pool under a new generation.
func (p planner) join() Step {
	if !p.owned() {
		return p.step(record.MovePending, false)
	}
	p.host.Pool = p.move.To
	p.host.Generation++
	return p.step(record.MoveJoining, true)
}

// finish opens the host in its new pool once the platform lists it as live. A
// host that joins no pool, perhaps because it is broken, stays closed.
func (p planner) finish() Step {
	if !p.owned() {
		return p.end(record.MoveDone, "host %s was opened by another change", p.move.Host)
	}
	if p.move.To == "" {
		p.host.ClosedBy = ""
		return p.step(record.MoveDone, true)
	}
	if s, ok := p.view.Host(p.move.Host); !ok || s.State() != rock.HostLive {
		return p.wait("host %s to be live in the platform's list", p.move.Host)
	}
	p.host.Open, p.host.ClosedBy = true, ""
	return p.step(record.MoveDone, true)
}

// reopen gives the host of a cancelled move back to the pool that it is in.
func (p planner) reopen() Step {
	if !p.owned() {
		return Step{move: p.name(), since: p.move.Since}
	}
	p.host.Open, p.host.ClosedBy = true, ""
	return p.step(record.MoveCancelled, true)
}

func (p planner) withoutHost() Step {
	if p.move.State.Ended() {
		return Step{move: p.name(), since: p.move.Since}
	}
	return p.end(record.MoveCancelled, "host %s does not exist", p.move.Host)
}

func (p planner) name() string { return p.record.Key().Name() }

// owner is the value of closed_by by which the move owns its host.
func (p planner) owner() string { return p.record.Key().String() }

func (p planner) owned() bool { return !p.host.Open && p.host.ClosedBy == p.owner() }

func (p planner) wait(format string, args ...any) Step {
	return waiting(p.name(), p.move.Since, format, args...)
}

func (p planner) end(state record.MoveState, format string, args ...any) Step {
	p.move.WaitsFor = fmt.Sprintf(format, args...)
	return p.write(state, false)
}

func (p planner) step(state record.MoveState, withHost bool) Step {
	p.move.WaitsFor = ""
	return p.write(state, withHost)
}

// write returns the step to the state, which writes the move's record and, if
// withHost is true, the host's.
func (p planner) write(state record.MoveState, withHost bool) Step {
	p.move.State, p.move.Since = state, p.now.UTC()
	next, err := record.Rewrite(p.record, p.move)
	if err != nil {
		return p.wait("a readable record: %v", err)
	}
	s := Step{
		move:  p.name(),
		id:    fmt.Sprintf("move.%s.%d.%s", p.name(), p.record.Version(), state),
		why:   fmt.Sprintf("move %s of host %s: %s", p.name(), p.move.Host, state),
		since: p.move.Since,
	}
	if withHost {
		host, err := record.Rewrite(p.hostRecord, p.host)
		if err != nil {
			return p.wait("a readable record: %v", err)
		}
		s.records = append(s.records, host)
	}
	s.records = append(s.records, next)
	return s
}
