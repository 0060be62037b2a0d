package books

import (
	"context"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

const (
	// maxQueued is the greatest number of queued proposals.
	maxQueued = 1024
	// maxBatch is the greatest number of changes in one transaction.
	maxBatch = 64
)

// Change implements [rock.Changer]. Proposals that are queued at the same time
// are committed as one batch, by the goroutine of one of the callers.
func (b *Books) Change(ctx context.Context, now time.Time, p rock.Proposal) (rock.Change, error) {
	return b.ChangeIf(ctx, now, p, nil)
}

// ChangeIf is like [Books.Change] but also rejects the change if check returns an
// error. Check is called with the configuration before the change, possibly more
// than once and on another caller's goroutine.
func (b *Books) ChangeIf(ctx context.Context, now time.Time, p rock.Proposal, check func(before *feed.Config) error) (rock.Change, error) {
	w := newPending(now, p, check)
	if !b.enqueue(w) {
		return rock.Change{}, rock.Fail("change", p.ID, rock.Overloaded, rock.NotRun).
			RetryIn(time.Second).Becausef("%d changes are waiting", maxQueued)
	}
	for {
		select {
		case <-w.done:
			return w.change, w.err
		case b.commitSlot <- struct{}{}:
			if !w.finished() {
				b.commitNextBatch(ctx)
			}
			<-b.commitSlot
		case <-ctx.Done():
			return b.abandon(w, ctx.Err())
		}
	}
}

// enqueue reports false if the queue is full.
func (b *Books) enqueue(w *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueued {
		return false
	}
	b.queue = append(b.queue, w)
	return true
}

// abandon returns the outcome for a caller whose context has ended. A proposal
// that is still queued is removed and did not run; one that is being committed
// may have run.
func (b *Books) abandon(w *pending, cause error) (rock.Change, error) {
	b.mu.Lock()
	i := slices.Index(b.queue, w)
	if i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	b.mu.Unlock()
	if w.finished() {
		return w.change, w.err
	}
	if i >= 0 {
		return rock.Change{}, rock.Fail("change", w.proposal.ID, rock.Cancelled, rock.NotRun).Because(cause)
	}
	return rock.Change{}, outcomeUnknown(w.proposal.ID, cause)
}

// outcomeUnknown returns the failure of a change that may have been committed.
func outcomeUnknown(id string, cause error) error {
	return rock.Fail("change", id, rock.OutcomeUnknown, rock.MayHaveRun).Because(cause)
}

// dequeueBatch removes the next batch from the queue: a single exclusive
// proposal, or up to maxBatch others with distinct change ids.
func (b *Books) dequeueBatch() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*pending
	ids := map[string]bool{}
	for _, w := range b.queue {
		if len(batch) == maxBatch || ids[w.proposal.ID] || w.exclusive() && len(batch) > 0 {
			break
		}
		ids[w.proposal.ID] = true
		batch = append(batch, w)
		if w.exclusive() {
			break
		}
	}
	b.queue = slices.Delete(b.queue, 0, len(batch))
	return batch
}

// commitNextBatch commits the next batch. It ignores the end of ctx, because the
// batch also holds the proposals of other callers.
func (b *Books) commitNextBatch(ctx context.Context) {
	batch := b.dequeueBatch()
	if len(batch) == 0 {
		return
	}
	b.commitBatch(context.WithoutCancel(ctx), batch)
}

// FindChange implements [rock.Changer].
func (b *Books) FindChange(ctx context.Context, changeID string) (rock.Change, error) {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	key := changeIDKey(changeID)
	rows, err := b.settings.Table.Read(ctx, key)
	if err != nil {
		return rock.Change{}, err
	}
	if !rows[0].Exists() {
		return rock.Change{}, rock.Fail("settle", "change "+changeID, rock.NotFound, rock.NotRun)
	}
	revision, err := readRevision(rows[0])
	if err != nil {
		return rock.Change{}, err
	}
	rows, err = b.settings.Table.Read(ctx, changeKey(revision))
	if err != nil {
		return rock.Change{}, err
	}
	return readChange(rows[0])
}
