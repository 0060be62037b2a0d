package route

import (
	"context"
	"encoding/json"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/ring"

	"golang.org/x/time/rate"
)

const (
	// maxClaimBatch is the maximum number of claims in one transaction.
	maxClaimBatch = 32
	// maxPendingClaims is the maximum number of claims that wait to be written.
	maxPendingClaims = 128
	// claimBurstSeconds is the burst of the rate limit on claims, in seconds at
	// the sustained rate.
	claimBurstSeconds = 30
	// maxCommitAttempts is the maximum number of transactions for a batch. After
	// a conflict, the next one leaves out the claims whose rows exist.
	maxCommitAttempts = 4
	// tableTimeout bounds the calls to the table for one commit or one page.
	tableTimeout = 2 * time.Second
)

// claimRows claims idempotency keys that callers chose by writing rows to the
// platform's table. Claims that arrive while a batch is being written form the
// next batch, which is written in one transaction.
type claimRows struct {
	table rock.Table
	queue *ring.Ring[*pendingClaim]
	limit *rate.Limiter
}

// newClaimRows returns the claim rows of a table. At most perSecond keys are
// claimed per second on average, with bursts of claimBurstSeconds.
func newClaimRows(table rock.Table, perSecond int) *claimRows {
	return &claimRows{table: table, queue: ring.New[*pendingClaim](maxPendingClaims), limit: rate.NewLimiter(rate.Limit(perSecond), claimBurstSeconds*perSecond)}
}

// claim writes a claim row unless the key has one, and returns the row in the
// table. The verdict of every error is may_have_run, since an earlier request
// with the key may have run.
func (r *claimRows) claim(ctx context.Context, key string, row claimRow) (claimRow, error) {
	refusal := rock.Fail("claim", "idempotency key", rock.Overloaded, rock.MayHaveRun).RetryIn(time.Second)
	if !r.limit.Allow() {
		return claimRow{}, refusal.Becausef("callers choose more than %v keys per second: use issued keys", float64(r.limit.Limit()))
	}
	c := &pendingClaim{key: key, row: row, reply: make(chan claimResult, 1)}
	if !r.queue.Put(c) {
		return claimRow{}, refusal.Becausef("%d claims wait to be written, the maximum", maxPendingClaims)
	}
	select {
	case got := <-c.reply:
		return got.row, got.err
	case <-ctx.Done():
		return claimRow{}, rock.Fail("claim", "idempotency key", rock.DeadlineExceeded, rock.MayHaveRun).Because(ctx.Err())
	}
}

// run writes pending claims in batches until ctx ends.
func (r *claimRows) run(ctx context.Context) error {
	for {
		first, err := r.queue.Take(ctx)
		if err != nil {
			return err
		}
		batch := []*pendingClaim{first}
		for len(batch) < maxClaimBatch {
			next, ok := r.queue.Poll()
			if !ok {
				break
			}
			batch = append(batch, next)
		}
		r.write(ctx, batch)
	}
}

// write writes a batch of claims and answers each of them.
func (r *claimRows) write(ctx context.Context, batch []*pendingClaim) {
	var err error
	for range maxCommitAttempts {
		batch, err = r.commit(ctx, batch)
		if len(batch) == 0 {
			return
		}
		if err != nil {
			break
		}
	}
	if err == nil {
		err = rock.Fail("claim", "idempotency key", rock.Conflict, rock.MayHaveRun).RetryIn(time.Second)
	}
	for _, c := range batch {
		c.answer(claimRow{}, err)
	}
}

// commit writes a batch in one transaction. It answers the claims whose row is
// in the table, and returns the claims that are left to be written.
func (r *claimRows) commit(ctx context.Context, batch []*pendingClaim) ([]*pendingClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	first, later := splitDuplicates(batch)
	var t rock.Transaction
	for _, c := range first {
		value, err := json.Marshal(c.row)
		if err != nil {
			return batch, err
		}
		t.Require(c.key, 0)
		t.Put(c.key, value)
	}
	err := r.table.Commit(ctx, t)
	if err == nil {
		for _, c := range first {
			c.answer(c.row, nil)
		}
		return later, nil
	}
	lost := rock.VerdictOf(err) == rock.MayHaveRun
	if !lost && rock.ReasonOf(err) != rock.Conflict {
		return batch, outcomeUnknown(err)
	}
	left, failed := r.resolveExisting(ctx, first)
	if failed != nil {
		return batch, outcomeUnknown(failed)
	}
	if lost && len(left) > 0 {
		// The transaction may still be applied, so the claims must not be
		// written again.
		return append(left, later...), outcomeUnknown(err)
	}
	return append(left, later...), nil
}

// resolveExisting answers the claims whose rows exist and returns the others.
func (r *claimRows) resolveExisting(ctx context.Context, batch []*pendingClaim) ([]*pendingClaim, error) {
	keys := make([]string, len(batch))
	for i, c := range batch {
		keys[i] = c.key
	}
	found, err := r.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var left []*pendingClaim
	for i, row := range found {
		var f claimRow
		switch {
		case !row.Exists():
			left = append(left, batch[i])
		case json.Unmarshal(row.Value(), &f) != nil:
			batch[i].answer(claimRow{}, outcomeUnknown(rock.Fail("read", "row "+row.Key(), rock.Internal, rock.MayHaveRun)))
		default:
			batch[i].answer(f, nil)
		}
	}
	return left, nil
}

// splitDuplicates splits a batch into the first claim of each key and the rest,
// so that each transaction writes a key once.
func splitDuplicates(batch []*pendingClaim) (first, later []*pendingClaim) {
	seen := map[string]bool{}
	for _, c := range batch {
		if seen[c.key] {
			later = append(later, c)
			continue
		}
		seen[c.key] = true
		first = append(first, c)
	}
	return first, later
}

// outcomeUnknown wraps an error after which it is not known whether the key is
// claimed or a request with it has run.
func outcomeUnknown(err error) error {
	return rock.Fail("claim", "idempotency key", rock.Unavailable, rock.MayHaveRun).RetryIn(time.Second).Because(err)
}
