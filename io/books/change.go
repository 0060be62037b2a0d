package books

import (
	"context"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

const (
	// maxQueued is the number of proposals that may wait.
	maxQueued = 1024
	// maxBatch is the greatest number of changes in one transaction.
	maxBatch = 64
)

// Change implements [rock.Changer]. Proposals that wait at the same time are
// committed together by the goroutine of one of them.
func (b *Books) Change(ctx context.Context, now time.Time, p rock.Proposal) (rock.Change, error) {
	return b.ChangeIf(ctx, now, p, nil)
}

// ChangeIf is [Books.Change] with a further check, which is given the
// configuration that the change is made to. It may run more than once, and by
// any goroutine.
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

func (b *Books) enqueue(w *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueued {
		return false
	}
	b.queue = append(b.queue, w)
	return true
}

// abandon ends a proposal whose author has gone. One that still waits did not
// run; one in a transaction may have.
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

// outcomeUnknown returns the failure of a change of which nobody knows whether it
// was made.
func outcomeUnknown(id string, cause error) error {
	return rock.Fail("change", id, rock.OutcomeUnknown, rock.MayHaveRun).Because(cause)
}

// dequeueBatch removes the next batch from the queue: one proposal that must be alone,
// or several without repeated change ids.
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

// commitNextBatch commits the next batch. Other authors' proposals are in it, so
// it goes on when ctx ends.
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
