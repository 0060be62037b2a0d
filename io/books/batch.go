package books

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

const (
	// maxAttempts bounds the attempts to commit a batch when other entries keep
	// committing first.
	maxAttempts = 20
	// firstConflictBackoff is the longest wait before the second attempt.
	firstConflictBackoff = 40 * time.Millisecond
	// maxConflictBackoff is the longest wait after a conflict.
	maxConflictBackoff = 320 * time.Millisecond
	// maxThrottleWait is the longest wait requested by a throttling platform
	// after which the batch is tried again. Longer ones are left to the caller.
	maxThrottleWait = 2 * time.Second
)

// errConcurrentCommit reports that another change was committed since the rows
// were read, so the batch must be validated again.
var errConcurrentCommit = errors.New("another change was committed first")

// commitBatch commits the batch, retrying after conflicts, and finishes every
// proposal in it.
func (b *Books) commitBatch(ctx context.Context, batch []*pending) {
	var lastErr error
	for n := range maxAttempts {
		remaining, err := b.checkAndCommit(ctx, batch)
		if len(remaining) == 0 {
			return
		}
		batch, lastErr = remaining, err
		wait, ok := b.retryWait(err, n)
		if !ok {
			failAll(batch, err)
			return
		}
		_ = sleep(ctx, wait)
	}
	failAll(batch, rock.Fail("change", "head", rock.Overloaded, rock.NotRun).
		RetryIn(time.Second).Because(lastErr))
}

// retryWait returns the wait after attempt n, counted from 0, failed with err, and
// false if err must not be retried. After a conflict the wait is random, up to a
// bound that doubles with each attempt, so that competing entries spread out;
// meanwhile further changes are queued for the next batch.
func (b *Books) retryWait(err error, n int) (time.Duration, bool) {
	if errors.Is(err, errConcurrentCommit) {
		return b.randomUpTo(min(firstConflictBackoff<<n, maxConflictBackoff)), true
	}
	var f *rock.Failure
	if !errors.As(err, &f) || f.Verdict() != rock.NotRun {
		return 0, false
	}
	wait := f.RetryAfter()
	return b.jitter(wait), wait > 0 && wait <= maxThrottleWait
}

// failAll finishes proposals that were not committed, each with a failure that
// has the reason and verdict of err.
func failAll(batch []*pending, err error) {
	for _, w := range batch {
		w.finish(rock.Change{}, failureOf(w, err))
	}
}

// failureOf returns err as a failure whose subject is the proposal's change id.
func failureOf(w *pending, err error) error {
	f := rock.Fail("change", w.proposal.ID, rock.ReasonOf(err), rock.VerdictOf(err)).Because(err)
	var cause *rock.Failure
	if errors.As(err, &cause) {
		f = f.RetryIn(cause.RetryAfter())
	}
	return f
}

// checkAndCommit validates the batch against the newest configuration and commits
// it. It returns the proposals that have no outcome yet, and the reason.
func (b *Books) checkAndCommit(ctx context.Context, batch []*pending) ([]*pending, error) {
	rows, err := b.readRows(ctx, batch)
	if err != nil {
		return batch, err
	}
	head, err := readRevision(rows[headKey])
	if err != nil {
		return batch, err
	}
	b.recordHead(head)
	if err := b.catchUp(ctx, head); err != nil {
		return batch, err
	}
	config := b.Config()
	if config.Revision() > head {
		return batch, fmt.Errorf("head was at revision %d and %d is in force: %w", head, config.Revision(), errConcurrentCommit)
	}
	t := newTransaction(config, rows)
	batch = b.finishDuplicates(ctx, batch, rows)
	batch = slices.DeleteFunc(batch, func(w *pending) bool { return b.addToTransaction(t, w) })
	if len(batch) == 0 {
		return nil, nil
	}
	return b.commit(ctx, t, batch)
}

// readRows returns the row head and all rows that the batch reads or writes, by
// key.
func (b *Books) readRows(ctx context.Context, batch []*pending) (map[string]rock.Row, error) {
	keys := []string{headKey}
	for _, w := range batch {
		keys = append(keys, changeIDKey(w.proposal.ID))
		for _, r := range w.proposal.Records {
			keys = append(keys, recordKey(r.Key()))
		}
		for _, r := range w.proposal.Deletes {
			keys = append(keys, recordKey(r.Key()))
		}
	}
	slices.Sort(keys[1:])
	keys = slices.Compact(keys)
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	found, err := b.settings.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	rows := make(map[string]rock.Row, len(found))
	for _, r := range found {
		rows[r.Key()] = r
	}
	return rows, nil
}

// finishDuplicates finishes the proposals whose change id was accepted before:
// with the accepted change if that is the same change, otherwise with a
// [rock.Duplicate] failure. It returns the other proposals.
func (b *Books) finishDuplicates(ctx context.Context, batch []*pending, rows map[string]rock.Row) []*pending {
	return slices.DeleteFunc(batch, func(w *pending) bool {
		if !rows[changeIDKey(w.proposal.ID)].Exists() {
			return false
		}
		accepted, err := b.FindChange(ctx, w.proposal.ID)
		switch {
		case err != nil:
			w.finish(rock.Change{}, outcomeUnknown(w.proposal.ID, err))
		case !b.isSameChange(w.proposal, accepted):
			w.finish(rock.Change{}, rock.Fail("change", w.proposal.ID, rock.Duplicate, rock.NotRun).
				Becausef("the change id was used for another change, which made revision %d", accepted.Revision()))
		default:
			w.finish(accepted, nil)
		}
		return true
	})
}

// isSameChange reports whether the accepted change is the one that p proposes: it
// has the same author and replaces the same versions by the same content.
func (b *Books) isSameChange(p rock.Proposal, accepted rock.Change) bool {
	edits := map[rock.Key]rock.Edit{}
	for _, e := range accepted.Edits() {
		edits[e.Key()] = e
	}
	if p.Who != accepted.Who() || len(p.Records)+len(p.Deletes) != len(edits) {
		return false
	}
	for _, r := range p.Records {
		if e, ok := edits[r.Key()]; !ok || !replacesVersion(e, r) || e.To() == nil || !b.sameContent(r, *e.To()) {
			return false
		}
	}
	for _, r := range p.Deletes {
		if e, ok := edits[r.Key()]; !ok || !replacesVersion(e, r) || e.To() != nil {
			return false
		}
	}
	return true
}

// replacesVersion reports whether the edit replaced the version of the record
// that r was proposed to replace. Version 0 stands for a record that does not
// exist.
func replacesVersion(e rock.Edit, r rock.Record) bool {
	if e.From() == nil {
		return r.Version() == 0
	}
	return e.From().Version() == r.Version()
}

// sameContent reports whether proposed has the schema and body of stored once it
// is in canonical form, in which records are stored.
func (b *Books) sameContent(proposed, stored rock.Record) bool {
	canonical, err := b.settings.Codec.Canonical(proposed)
	return err == nil && canonical.Schema() == stored.Schema() &&
		bytes.Equal(mustEncode(canonical.Body()), mustEncode(stored.Body()))
}

// addToTransaction validates the proposal against the configuration that the
// transaction leads to so far, and adds it. It reports true if the proposal is
// finished instead: rejected, or accepted as a dry run.
func (b *Books) addToTransaction(t *transaction, w *pending) bool {
	c, next, err := b.check(t.config, w)
	if err == nil {
		err = t.checkRows(c)
	}
	if err != nil {
		w.finish(rock.Change{}, err)
		return true
	}
	if w.proposal.DryRun {
		w.finish(c, nil)
		return true
	}
	t.add(c, next, w.proposal.Guard)
	return false
}

// check validates the proposal. It returns the change that it makes to config and
// the configuration after the change.
func (b *Books) check(config *feed.Config, w *pending) (rock.Change, *feed.Config, error) {
	p := w.proposal
	if err := w.check(config); err != nil {
		return rock.Change{}, nil, err
	}
	edits, err := config.Propose(p)
	if err != nil {
		return rock.Change{}, nil, err
	}
	if err := checkAddresses(edits); err != nil {
		return rock.Change{}, nil, err
	}
	next, err := config.Check(edits)
	if err != nil {
		return rock.Change{}, nil, err
	}
	if r := b.settings.Reviewer; r != nil {
		if err := r.Review(w.proposedAt, config, edits); err != nil {
			return rock.Change{}, nil, err
		}
	}
	c := rock.NewChange(p.ID, next.Revision(), w.proposedAt.UTC(), p.Who, p.Why, edits)
	return c, next, nil
}
