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
	// rowGroup is the greatest number of claims in one transaction.
	rowGroup = 32
	// rowQueue is the greatest number of claims that wait.
	rowQueue = 128
	// rowBurst is how many seconds' worth of claims may come at once.
	rowBurst = 30
	// rowPasses is how often a group is tried again without the claims that
	// were found to be taken.
	rowPasses = 4
	// rowTimeout bounds one call to the table.
	rowTimeout = 2 * time.Second
)

// rows claims idempotency keys that callers chose, by rows in the platform's
// table. Claims that arrive while others are being written are written in one
// transaction.
type rows struct {
	table rock.Table
	queue *ring.Ring[*rowClaim]
	limit *rate.Limiter
}

// newRows returns the rows of a table, of which perSecond are claimed in a
// second at most, but for bursts.
func newRows(table rock.Table, perSecond int) *rows {
	return &rows{table: table, queue: ring.New[*rowClaim](rowQueue), limit: rate.NewLimiter(rate.Limit(perSecond), rowBurst*perSecond)}
}

// claim writes a claim row unless there is one, and returns the row in the
// table. No error tells whether an earlier send of the key has run.
func (r *rows) claim(ctx context.Context, key string, row rowForm) (rowForm, error) {
	refusal := rock.Fail("claim", "idempotency key", rock.Overloaded, rock.MayHaveRun).RetryIn(time.Second)
	if !r.limit.Allow() {
		return rowForm{}, refusal.Becausef("callers choose more than %v keys a second: use issued keys", float64(r.limit.Limit()))
	}
	c := &rowClaim{key: key, row: row, reply: make(chan rowReply, 1)}
	if !r.queue.Put(c) {
		return rowForm{}, refusal.Becausef("%d claims wait for the platform", rowQueue)
	}
	select {
	case got := <-c.reply:
		return got.row, got.err
	case <-ctx.Done():
		return rowForm{}, rock.Fail("claim", "idempotency key", rock.DeadlineExceeded, rock.MayHaveRun).Because(ctx.Err())
	}
}

// run writes claims until ctx ends.
func (r *rows) run(ctx context.Context) error {
	for {
		first, err := r.queue.Take(ctx)
		if err != nil {
			return err
		}
		group := []*rowClaim{first}
		for len(group) < rowGroup {
			next, ok := r.queue.Poll()
			if !ok {
				break
			}
			group = append(group, next)
		}
		r.write(ctx, group)
	}
}

// write writes a group of claims and replies to each.
func (r *rows) write(ctx context.Context, group []*rowClaim) {
	var err error
	for range rowPasses {
		group, err = r.pass(ctx, group)
		if len(group) == 0 {
			return
		}
		if err != nil {
			break
		}
	}
	if err == nil {
		err = rock.Fail("claim", "idempotency key", rock.Conflict, rock.MayHaveRun).RetryIn(time.Second)
	}
	for _, c := range group {
		c.answer(rowForm{}, err)
	}
}

// pass tries a group once. It replies to the claims that are settled, and
// returns the others.
func (r *rows) pass(ctx context.Context, group []*rowClaim) ([]*rowClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	first, later := distinct(group)
	var t rock.Transaction
	for _, c := range first {
		value, err := json.Marshal(c.row)
		if err != nil {
			return group, err
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
		return group, unknown(err)
	}
	left, failed := r.look(ctx, first)
	if failed != nil {
		return group, unknown(failed)
	}
	if lost && len(left) > 0 {
		// The transaction may still take effect.
		return append(left, later...), unknown(err)
	}
	return append(left, later...), nil
}

// look replies to the claims whose rows exist and returns the others.
func (r *rows) look(ctx context.Context, group []*rowClaim) ([]*rowClaim, error) {
	keys := make([]string, len(group))
	for i, c := range group {
		keys[i] = c.key
	}
	found, err := r.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var left []*rowClaim
	for i, row := range found {
		var f rowForm
		switch {
		case !row.Exists():
			left = append(left, group[i])
		case json.Unmarshal(row.Value(), &f) != nil:
			group[i].answer(rowForm{}, unknown(rock.Fail("read", "row "+row.Key(), rock.Internal, rock.MayHaveRun)))
		default:
			group[i].answer(f, nil)
		}
	}
	return left, nil
}

// distinct splits a group into the first claim of each key and the others.
func distinct(group []*rowClaim) (first, later []*rowClaim) {
	seen := map[string]bool{}
	for _, c := range group {
		if seen[c.key] {
			later = append(later, c)
			continue
		}
		seen[c.key] = true
		first = append(first, c)
	}
	return first, later
}

// unknown returns the failure of a claim of which nothing is known.
func unknown(err error) error {
	return rock.Fail("claim", "idempotency key", rock.Unavailable, rock.MayHaveRun).RetryIn(time.Second).Because(err)
}
