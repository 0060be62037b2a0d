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
	waitingList

	settings Settings
	observer *observer
	// lastOwnRevision is the revision of the latest change made here. Rounds
	// are skipped until the configuration has reached it.
	lastOwnRevision rock.Revision
	history         drain.History
	// pending holds the moves that may have a next step at pendingRevision.
	pending         []rock.Record
	pendingRevision rock.Revision
}

func newMover(s Settings, o *observer) *mover { return &mover{settings: s, observer: o} }

// Name implements [Duty].
func (m *mover) Name() string { return moverName }

// HasWork implements [ConditionalDuty].
func (m *mover) HasWork(fleet rock.Fleet) bool {
	if fleet.Revision() != m.pendingRevision {
		m.pending, m.pendingRevision = pendingMoves(fleet), fleet.Revision()
	}
	return len(m.pending) > 0
}

// Round implements [Duty]. It makes the next step of every pending move.
func (m *mover) Round(ctx context.Context, now time.Time, params RoundParams) error {
	if params.Fleet.Revision() < m.lastOwnRevision {
		return nil
	}
	m.history.Rotate()
	view, err := m.observer.view(ctx, now, &m.history)
	if err != nil {
		return err
	}
	headroom := m.settings.Budgets.Headroom(now, params.Fleet)
	var all []Waiting
	var errs []error
	for _, r := range m.pending {
		step := move.Next(now, params.Fleet, r, view)
		if undoStep, ok := move.Undo(now, params.Fleet, r, headroom); ok {
			step = undoStep
		}
		waitsFor := step.WaitsFor()
		if step.Pending() {
			waitsFor, err = m.apply(ctx, now, step.Proposal(params.Holder, params.Guard))
			errs = append(errs, err)
		}
		if waitsFor != "" {
			all = append(all, Waiting{r.Key().String(), waitsFor, step.Since()})
		}
	}
	m.set(now, all)
	return errors.Join(errs...)
}

// apply commits the change. If that fails, it returns what the move waits for,
// and the error unless it is transient.
func (m *mover) apply(ctx context.Context, now time.Time, p rock.Proposal) (string, error) {
	c, err := m.settings.Changer.Change(ctx, now, p)
	if err != nil {
		return err.Error(), dropTransient(err)
	}
	m.lastOwnRevision = max(m.lastOwnRevision, c.Revision())
	m.settings.Scope.Counter("move_steps").Inc(1)
	m.settings.Log.WithField("change", c.ID()).Info("move step committed")
	return "", nil
}

// dropTransient returns nil if err is a refusal that passes with time, because
// the budget is used up or the platform is unavailable, and err otherwise.
func dropTransient(err error) error {
	switch rock.ReasonOf(err) {
	case rock.BudgetExceeded, rock.Unavailable:
		return nil
	}
	return err
}

// pendingMoves returns the moves that may have a next step: those that have not
// ended or cannot be decoded, and cancelled ones whose host is still closed.
func pendingMoves(f rock.Fleet) []rock.Record {
	var pending []rock.Record
	for _, r := range f.Records(rock.KindMove) {
		m, err := record.MoveSpecOf(r)
		if err != nil || !m.State.Ended() || m.State == record.MoveCancelled && isClosedBy(f, m.Host, r.Key()) {
			pending = append(pending, r)
		}
	}
	return pending
}

// isClosedBy reports whether the host was closed by the record with that key.
func isClosedBy(f rock.Fleet, host string, key rock.Key) bool {
	r, ok := f.Record(rock.NewKey(rock.KindHost, host))
	if !ok {
		return false
	}
	h, err := record.HostSpecOf(r)
	return err == nil && h.ClosedBy == key.String()
}
