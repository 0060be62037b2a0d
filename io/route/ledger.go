package route

import (
	"context"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// ledger is the book of the keys that are at home here, and the runs under
// way. It is safe for concurrent use.
type ledger struct {
	mu   sync.Mutex
	book *claim.Registry
	runs map[string]*run
	// free holds the keys chosen by callers that are claimed here by a row but
	// have not run, with the time at which the row expires.
	free map[string]time.Time
}

// newLedger returns a ledger without keys.
func newLedger(l claim.Limits) *ledger {
	return &ledger{book: claim.NewRegistry(l), runs: map[string]*run{}, free: map[string]time.Time{}}
}

// claim claims a key. It returns the run under way, unless the key is settled.
func (l *ledger) claim(now time.Time, key string, expires time.Time) (claim.Result, *run, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, err := l.book.Claim(now, key, expires)
	if err != nil {
		return c, nil, err
	}
	if c.State() == claim.Fresh {
		l.runs[key] = &run{done: make(chan struct{})}
	}
	return c, l.runs[key], nil
}

// settle notes the outcome of a key's run and tells those who wait for it.
func (l *ledger) settle(now time.Time, key string, o claim.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.RecordOutcome(now, key, o)
	l.end(key, o)
}

// settleChosen notes the outcome of the run of a key that is claimed by a row
// until a time. If it did not run, the key may be run here again.
func (l *ledger) settleChosen(now time.Time, key string, until time.Time, o claim.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.RecordOutcome(now, key, o)
	if _, err := o.Result(); rock.VerdictOf(err) == rock.NotRun {
		l.free[key] = until
	}
	for name, at := range l.free {
		if now.After(at) {
			delete(l.free, name)
		}
	}
	l.end(key, o)
}

// drop forgets a key that was not run here, and tells the outcome to those who
// wait for it.
func (l *ledger) drop(now time.Time, key string, o claim.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Release(now, key)
	l.end(key, o)
}

// knows reports whether the key is remembered, or claimed by a row without
// having run.
func (l *ledger) knows(now time.Time, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, free := l.free[key]
	return free || l.book.Contains(now, key)
}

// take takes a key that is claimed by a row without having run, and returns
// when the row expires.
func (l *ledger) take(key string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.free[key]
	delete(l.free, key)
	return until, ok
}

// end tells those who wait for a key's run its outcome. The lock is held.
func (l *ledger) end(key string, o claim.Outcome) {
	r := l.runs[key]
	delete(l.runs, key)
	r.outcome = o
	close(r.done)
}

// close refuses new keys from now on.
func (l *ledger) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Close()
}

// closing returns the statement of the keys claimed here.
func (l *ledger) closing(now time.Time, incarnation string) claim.ClosingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.ClosingRecord(now, incarnation)
}

// await waits for the end of a run and returns its outcome.
func (l *ledger) await(ctx context.Context, r rock.Request, under *run) (rock.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	select {
	case <-under.done:
		return under.outcome.Result()
	case <-ctx.Done():
		return rock.Answer{}, rock.Fail("wait", "idempotency key", rock.Duplicate, rock.MayHaveRun).Becausef("a send of the key is running: %w", ctx.Err())
	}
}
