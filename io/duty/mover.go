package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/drain"
	"bramleyrock/core/forms"
	"bramleyrock/core/move"
)

// moverName is the name of the duty of moving hosts between pools.
const moverName = "mover"

// mover is the duty of moving hosts between pools.
type mover struct {
	set   Settings
	sight *sight
	// behind is the revision of the own latest change.
	behind rock.Revision
	memory drain.Memory

	mu    sync.Mutex
	waits []Waiting
}

func newMover(s Settings, sight *sight) *mover { return &mover{set: s, sight: sight} }

// Name implements [Duty].
func (m *mover) Name() string { return moverName }

// Round implements [Duty]: it makes the next step of every move.
func (m *mover) Round(ctx context.Context, now time.Time, turn Turn) error {
	if turn.Fleet.Revision() < m.behind {
		return nil
	}
	moves := pendingMoves(turn.Fleet)
	if len(moves) == 0 {
		m.note(nil)
		return nil
	}
	m.memory.Turn()
	view, err := m.sight.view(ctx, now, &m.memory)
	if err != nil {
		return err
	}
	var waits []Waiting
	var errs []error
	for _, r := range moves {
		step := move.Next(now, turn.Fleet, r, view)
		waitsFor := step.WaitsFor()
		if step.Pending() {
			waitsFor, err = m.make(ctx, now, step.Proposal(turn.Holder, turn.Guard))
			errs = append(errs, err)
		}
		if waitsFor != "" {
			waits = append(waits, Waiting{r.Key().String(), waitsFor, step.Since()})
		}
	}
	m.note(waits)
	return errors.Join(errs...)
}

// make makes the change. A refusal for a budget is what the move waits for.
func (m *mover) make(ctx context.Context, now time.Time, p rock.Proposal) (string, error) {
	c, err := m.set.Changer.Change(ctx, now, p)
	switch rock.ReasonOf(err) {
	case "":
		m.behind = max(m.behind, c.Revision())
		m.set.Scope.Counter("move_steps").Inc(1)
		m.set.Log.WithField("change", c.ID()).Info("step made")
		return "", nil
	case rock.BudgetExceeded, rock.Unavailable:
		return err.Error(), nil
	}
	return err.Error(), err
}

func (m *mover) note(waits []Waiting) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waits = waits
}

func (m *mover) waiting() []Waiting {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Waiting(nil), m.waits...)
}

// pendingMoves returns the moves that may have a next step.
func pendingMoves(f rock.Fleet) []rock.Record {
	var pending []rock.Record
	for _, r := range f.Records(rock.KindMove) {
		m, err := forms.DecodeMove(r)
		if err != nil || !m.State.Ended() || m.State == forms.MoveCancelled && closedFor(f, m.Host, r.Key()) {
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
	h, err := forms.DecodeHost(r)
	return err == nil && h.ClosedBy == key.String()
}
