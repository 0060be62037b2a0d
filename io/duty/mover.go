package duty

import (
	"context"
	"errors"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/drain"
	"bramleyrock/core/move"
	"bramleyrock/core/record"
)

// moverName is the name of the duty of moving hosts between pools.
const moverName = "mover"

// mover is the duty of moving hosts between pools.
type mover struct {
	waits

	settings Settings
	sight    *sight
	// behind is the revision of the own latest change.
	behind rock.Revision
	memory drain.History
	// pending is the moves that may have a next step at the revision seen.
	pending []rock.Record
	seen    rock.Revision
}

func newMover(s Settings, sight *sight) *mover { return &mover{settings: s, sight: sight} }

// Name implements [Duty].
func (m *mover) Name() string { return moverName }

// HasWork implements [ConditionalDuty].
func (m *mover) HasWork(fleet rock.Fleet) bool {
	if fleet.Revision() != m.seen {
		m.pending, m.seen = pendingMoves(fleet), fleet.Revision()
	}
	return len(m.pending) > 0
}

// Round implements [Duty]: it makes the next step of every move.
func (m *mover) Round(ctx context.Context, now time.Time, turn RoundParams) error {
	if turn.Fleet.Revision() < m.behind {
		return nil
	}
	m.memory.Rotate()
	view, err := m.sight.view(ctx, now, &m.memory)
	if err != nil {
		return err
	}
	room := m.settings.Budgets.Room(now, turn.Fleet)
	var all []Waiting
	var errs []error
	for _, r := range m.pending {
		step := move.Next(now, turn.Fleet, r, view)
		if undo, ok := move.Undo(now, turn.Fleet, r, room); ok {
			step = undo
		}
		waitsFor := step.WaitsFor()
		if step.Pending() {
			waitsFor, err = m.make(ctx, now, step.Proposal(turn.Holder, turn.Guard))
			errs = append(errs, err)
		}
		if waitsFor != "" {
			all = append(all, Waiting{r.Key().String(), waitsFor, step.Since()})
		}
	}
	m.set(now, all)
	return errors.Join(errs...)
}

// make makes the change and returns what the move waits for if it is refused.
func (m *mover) make(ctx context.Context, now time.Time, p rock.Proposal) (string, error) {
	c, err := m.settings.Changer.Change(ctx, now, p)
	if err != nil {
		return err.Error(), unexpected(err)
	}
	m.behind = max(m.behind, c.Revision())
	m.settings.Scope.Counter("move_steps").Inc(1)
	m.settings.Log.WithField("change", c.ID()).Info("step made")
	return "", nil
}

// unexpected returns err unless it is a refusal that time settles.
func unexpected(err error) error {
	switch rock.ReasonOf(err) {
	case rock.BudgetExceeded, rock.Unavailable:
		return nil
	}
	return err
}

// pendingMoves returns the moves that may have a next step.
func pendingMoves(f rock.Fleet) []rock.Record {
	var pending []rock.Record
	for _, r := range f.Records(rock.KindMove) {
		m, err := record.MoveSpecOf(r)
		if err != nil || !m.State.Ended() || m.State == record.MoveCancelled && closedFor(f, m.Host, r.Key()) {
			pending = append(pending, r)
		}
	}
	return pending
}

// closedFor reports whether the host is closed for the record with that key.
func closedFor(f rock.Fleet, host string, key rock.Key) bool {
	r, ok := f.Record(rock.NewKey(rock.KindHost, host))
	if !ok {
		return false
	}
	h, err := record.HostSpecOf(r)
	return err == nil && h.ClosedBy == key.String()
}
