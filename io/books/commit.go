package books

import (
	"context"
	"errors"
	"time"

	rock "bramleyrock"
)

// outcomePollInterval is the mean interval between two lookups of a commit's
// outcome after its response was lost.
const outcomePollInterval = 100 * time.Millisecond

// commit commits the transaction and finishes its proposals. It returns those
// that have no outcome yet, and the reason.
func (b *Books) commit(ctx context.Context, t *transaction, batch []*pending) ([]*pending, error) {
	err := b.commitRows(ctx, t.build())
	switch {
	case err == nil:
		b.accept(t, batch)
		return nil, nil
	case rock.ReasonOf(err) == rock.Conflict && rock.VerdictOf(err) == rock.NotRun:
		return batch, b.classifyConflict(ctx, t, err)
	case rock.VerdictOf(err) == rock.NotRun:
		return batch, err
	}
	return b.resolveOutcome(ctx, t, batch, err)
}

// commitRows commits x to the platform's table within the call timeout.
func (b *Books) commitRows(ctx context.Context, x rock.Transaction) error {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	return b.settings.Table.Commit(ctx, x)
}

// accept puts the committed changes in force at this entry and finishes their
// proposals.
func (b *Books) accept(t *transaction, batch []*pending) {
	b.recordHead(t.config.Revision())
	b.putInForce(t.config, t.changes)
	for i, w := range batch {
		w.finish(t.changes[i], nil)
	}
}

// classifyConflict returns errConcurrentCommit if head has changed since the rows
// were read, and the conflict itself if a condition of the guard does not hold.
func (b *Books) classifyConflict(ctx context.Context, t *transaction, conflict error) error {
	row, _, err := b.readHead(ctx)
	switch {
	case err != nil:
		return err
	case row.Version() != t.rows[headKey].Version():
		return errConcurrentCommit
	}
	return conflict
}

// resolveOutcome determines whether the transaction whose response was lost took
// effect, and finishes or returns its proposals. Nothing of the transaction is
// written again until that is known.
func (b *Books) resolveOutcome(ctx context.Context, t *transaction, batch []*pending, lostErr error) ([]*pending, error) {
	b.settings.Scope.Counter("lost_answers").Inc(1)
	id := t.changes[0].ID()
	ctx, cancel := context.WithTimeout(ctx, b.settings.OutcomeTimeout)
	defer cancel()
	for {
		_, err := b.FindChange(ctx, id)
		switch {
		case err == nil:
			b.accept(t, batch)
			return nil, nil
		case rock.ReasonOf(err) == rock.NotFound:
			if b.fence(ctx, t) {
				return b.resolveFencedOutcome(ctx, t, batch, lostErr)
			}
		}
		if sleep(ctx, b.jitter(outcomePollInterval)) != nil {
			failAllOutcomeUnknown(batch, lostErr)
			return nil, nil
		}
	}
}

// failAllOutcomeUnknown finishes proposals that may have been committed.
func failAllOutcomeUnknown(batch []*pending, lostErr error) {
	for _, w := range batch {
		w.finish(rock.Change{}, outcomeUnknown(w.proposal.ID, lostErr))
	}
}

// fence tries to prevent a transaction whose response was lost from taking effect
// later, and reports whether that is certain. It rewrites head with the same
// value, which changes the row's version, so that the transaction's condition on
// head fails. A conflict means that the version had changed already.
func (b *Books) fence(ctx context.Context, t *transaction) bool {
	head := t.rows[headKey]
	var x rock.Transaction
	x.Require(headKey, head.Version())
	value := head.Value()
	if !head.Exists() {
		value = mustEncode(revisionRow{})
	}
	x.Put(headKey, value)
	err := b.commitRows(ctx, x)
	return err == nil || rock.ReasonOf(err) == rock.Conflict
}

// resolveFencedOutcome looks up a transaction that can no longer take effect. If
// its change exists, it was committed before the fence. If not, it did not run
// and its proposals are returned for another attempt.
func (b *Books) resolveFencedOutcome(ctx context.Context, t *transaction, batch []*pending, lostErr error) ([]*pending, error) {
	for {
		_, err := b.FindChange(ctx, t.changes[0].ID())
		if err == nil {
			b.accept(t, batch)
			return nil, nil
		}
		if rock.ReasonOf(err) == rock.NotFound {
			return batch, errors.Join(errConcurrentCommit, lostErr)
		}
		if sleep(ctx, b.jitter(outcomePollInterval)) != nil {
			failAllOutcomeUnknown(batch, lostErr)
			return nil, nil
		}
	}
}
