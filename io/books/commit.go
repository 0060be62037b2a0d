package books

import (
	"context"
	"errors"
	"time"

	rock "bramleyrock"
)

// outcomePollInterval is the mean wait between two looks for a lost answer.
const outcomePollInterval = 100 * time.Millisecond

// commit commits the transaction and ends its proposals. It returns those that
// have no outcome yet, and why.
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

func (b *Books) commitRows(ctx context.Context, x rock.Transaction) error {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	return b.settings.Table.Commit(ctx, x)
}

// accept puts the changes in force here and tells their authors.
func (b *Books) accept(t *transaction, batch []*pending) {
	b.recordHead(t.config.Revision())
	b.putInForce(t.config, t.changes)
	for i, w := range batch {
		w.finish(t.changes[i], nil)
	}
}

// classifyConflict returns errAgain if the conflict came from another change, and the
// conflict itself if a condition of the guard does not hold.
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

// resolveOutcome finds out whether the transaction whose answer was lost took effect.
// Until that is known, nothing of it is written again.
func (b *Books) resolveOutcome(ctx context.Context, t *transaction, batch []*pending, lost error) ([]*pending, error) {
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
				return b.resolveFencedOutcome(ctx, t, batch, lost)
			}
		}
		if sleep(ctx, b.jitter(outcomePollInterval)) != nil {
			failAllOutcomeUnknown(batch, lost)
			return nil, nil
		}
	}
}

func failAllOutcomeUnknown(batch []*pending, lost error) {
	for _, w := range batch {
		w.finish(rock.Change{}, outcomeUnknown(w.proposal.ID, lost))
	}
}

// fence makes sure that the lost transaction cannot take effect any more, and
// reports whether that is so: its condition on head no longer holds, because
// head was written unchanged here or by another change.
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

// resolveFencedOutcome looks once more for a transaction that cannot take effect from
// now on: it is either there, or it did not run and is checked again.
func (b *Books) resolveFencedOutcome(ctx context.Context, t *transaction, batch []*pending, lost error) ([]*pending, error) {
	for {
		_, err := b.FindChange(ctx, t.changes[0].ID())
		if err == nil {
			b.accept(t, batch)
			return nil, nil
		}
		if rock.ReasonOf(err) == rock.NotFound {
			return batch, errors.Join(errConcurrentCommit, lost)
		}
		if sleep(ctx, b.jitter(outcomePollInterval)) != nil {
			failAllOutcomeUnknown(batch, lost)
			return nil, nil
		}
	}
}
