package route

import (
	"context"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// keyRegistry holds the idempotency keys that this entry owns and the runs in
// progress. It is safe for concurrent use.
type keyRegistry struct {
	mu       sync.Mutex
	registry *claim.Registry
	runs     map[string]*keyRun
	// claimedNotRun maps keys that callers chose to the expiry of their claim
	// rows. These keys are claimed by this entry but have not run.
	claimedNotRun map[string]time.Time
}

// newKeyRegistry returns an empty registry.
func newKeyRegistry(l claim.Limits) *keyRegistry {
	return &keyRegistry{registry: claim.NewRegistry(l), runs: map[string]*keyRun{}, claimedNotRun: map[string]time.Time{}}
}

// claim claims a key in memory. It returns the run in progress, or nil if the
// key's outcome is recorded already.
func (k *keyRegistry) claim(now time.Time, key string, expires time.Time) (claim.Result, *keyRun, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, err := k.registry.Claim(now, key, expires)
	if err != nil {
		return c, nil, err
	}
	if c.State() == claim.Fresh {
		k.runs[key] = &keyRun{done: make(chan struct{})}
	}
	return c, k.runs[key], nil
}

// recordOutcome records the outcome of a key's run and passes it to the
// requests that await it.
func (k *keyRegistry) recordOutcome(now time.Time, key string, o claim.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry.RecordOutcome(now, key, o)
	k.finish(key, o)
}

// recordCallerKeyOutcome is recordOutcome for a key that is claimed by a row
// that expires at until. If the request did not run, a later send may run here
// under the same row.
func (k *keyRegistry) recordCallerKeyOutcome(now time.Time, key string, until time.Time, o claim.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry.RecordOutcome(now, key, o)
	if _, err := o.Result(); rock.VerdictOf(err) == rock.NotRun {
		k.claimedNotRun[key] = until
	}
	for name, expires := range k.claimedNotRun {
		if now.After(expires) {
			delete(k.claimedNotRun, name)
		}
	}
	k.finish(key, o)
}

// release removes a key that was not run here, and passes the outcome to the
// requests that await it.
func (k *keyRegistry) release(now time.Time, key string, o claim.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry.Release(now, key)
	k.finish(key, o)
}

// contains reports whether the registry holds the key, or the key is claimed by
// a row of this entry but has not run.
func (k *keyRegistry) contains(now time.Time, key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, notRun := k.claimedNotRun[key]
	return notRun || k.registry.Contains(now, key)
}

// reclaim reports whether the key is claimed by a row of this entry but has not
// run. If so, it removes the key from claimedNotRun, so that one caller runs it,
// and returns the expiry of the row.
func (k *keyRegistry) reclaim(key string) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, ok := k.claimedNotRun[key]
	delete(k.claimedNotRun, key)
	return until, ok
}

// finish ends a key's run and passes its outcome to the requests that await it.
// The caller holds k.mu.
func (k *keyRegistry) finish(key string, o claim.Outcome) {
	r := k.runs[key]
	delete(k.runs, key)
	r.outcome = o
	close(r.done)
}

// close refuses all further new keys.
func (k *keyRegistry) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry.Close()
}

// closingRecord returns the record of the keys claimed here.
func (k *keyRegistry) closingRecord(now time.Time, incarnation string) claim.ClosingRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.ClosingRecord(now, incarnation)
}

// await waits until a run ends and returns its outcome. It fails with Duplicate
// if ctx or the deadline of r ends first.
func (k *keyRegistry) await(ctx context.Context, r rock.Request, pending *keyRun) (rock.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	select {
	case <-pending.done:
		return pending.outcome.Result()
	case <-ctx.Done():
		return rock.Answer{}, rock.Fail("wait", "idempotency key", rock.Duplicate, rock.MayHaveRun).Becausef("an earlier request with the key is still running: %w", ctx.Err())
	}
}
