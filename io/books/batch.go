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
	// maxAttempts is how often a batch is checked again because another entry
	// committed first.
	maxAttempts = 20
	// firstConflictBackoff is the longest wait before the second attempt.
	firstConflictBackoff = 40 * time.Millisecond
	// maxConflictBackoff is the longest wait before any attempt.
	maxConflictBackoff = 320 * time.Millisecond
	// maxThrottleWait is the longest wait that the platform may ask for when
	// its rate is used up.
	maxThrottleWait = 2 * time.Second
)

// errConcurrentCommit means that the batch must be checked again on newer rows.
var errConcurrentCommit = errors.New("another change was committed first")

// commitBatch gives every proposal of the batch its outcome.
func (b *Books) commitBatch(ctx context.Context, batch []*pending) {
	var last error
	for n := range maxAttempts {
		left, err := b.checkAndCommit(ctx, batch)
		if len(left) == 0 {
			return
		}
		batch, last = left, err
		wait, ok := b.retryWait(err, n)
		if !ok {
			failAll(batch, err)
			return
		}
		_ = sleep(ctx, wait)
	}
	failAll(batch, rock.Fail("change", "head", rock.Overloaded, rock.NotRun).
		RetryIn(time.Second).Because(last))
}

// retryWait returns the wait before the next attempt after n others, and false
// if there is to be none. Entries that conflict spread over a time that doubles
// with each attempt, in which further changes gather.
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

// failAll ends proposals that were not committed. The failure names the change
// of each and keeps the reason and verdict of err.
func failAll(batch []*pending, err error) {
	for _, w := range batch {
		w.finish(rock.Change{}, failureOf(w, err))
	}
}

// failureOf returns err as a failure of the proposal's change.
func failureOf(w *pending, err error) error {
	f := rock.Fail("change", w.proposal.ID, rock.ReasonOf(err), rock.VerdictOf(err)).Because(err)
	var cause *rock.Failure
	if errors.As(err, &cause) {
		f = f.RetryIn(cause.RetryAfter())
	}
	return f
}

// checkAndCommit checks the batch against the newest configuration and commits it. It
// returns the proposals that have no outcome yet, and why.
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

// readRows reads head and all rows that the batch touches.
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

// finishDuplicates ends the proposals whose change id was accepted before: with the
// accepted change if it is the same, else with a Duplicate failure. It returns
// the others.
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

// isSameChange reports whether the accepted change is the one that p proposes: of the
// same author, replacing the same versions by the same content.
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

// replacesVersion reports whether the edit replaced the version that r names.
func replacesVersion(e rock.Edit, r rock.Record) bool {
	if e.From() == nil {
		return r.Version() == 0
	}
	return e.From().Version() == r.Version()
}

// sameContent reports whether the kept record is what became of r.
func (b *Books) sameContent(r, kept rock.Record) bool {
	low, err := b.settings.Codec.Canonical(r)
	return err == nil && low.Schema() == kept.Schema() &&
		bytes.Equal(mustEncode(low.Body()), mustEncode(kept.Body()))
}

// addToTransaction checks the proposal against the configuration after the ones before it
// and adds it to the transaction. It reports whether the proposal has ended.
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

// check returns the change that the proposal makes to config, and the
// configuration after it.
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
