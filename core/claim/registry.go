package claim

import (
	"container/heap"
	"slices"
	"time"

	rock "bramleyrock"
)

// Registry remembers the keys that were claimed at their home, until they expire.
// A key is never forgotten before. It is not safe for concurrent use.
type Registry struct {
	limits   Limits
	entries  map[string]*entry
	byExpiry expiryHeap
	// answers holds the entries with an answer, the oldest first.
	answers     []*entry
	answerBytes int
	// latestTime is the greatest time seen. Keys that expired before it may have
	// been forgotten, so a clock that goes back must not revive them.
	latestTime time.Time
	closed     bool
}

// NewRegistry returns an empty book.
func NewRegistry(l Limits) *Registry {
	return &Registry{limits: l.withDefaults(), entries: map[string]*entry{}}
}

// Len returns the number of keys remembered.
func (b *Registry) Len() int { return len(b.entries) }

// Claim claims a key that expires at that time, or tells what became of it. A
// key that may have been forgotten is refused as [rock.MayHaveRun]; one that
// is new but finds no room as [rock.NotRun].
func (b *Registry) Claim(now time.Time, key string, expires time.Time) (Result, error) {
	b.removeExpired(now)
	if !b.latestTime.Before(expires) {
		return Result{}, newRefusal(rock.Expired, rock.MayHaveRun).Becausef("the key expired at %s", expires.UTC().Format(time.RFC3339))
	}
	if e := b.entries[key]; e != nil {
		return e.result(), nil
	}
	if b.closed {
		return Result{}, newRefusal(rock.Leaving, rock.NotRun).Becausef("its home is shutting down and the key was not claimed")
	}
	if len(b.entries) >= b.limits.MaxKeys {
		return Result{}, newRefusal(rock.Overloaded, rock.NotRun).RetryIn(b.byExpiry[0].expires.Sub(b.latestTime)).Becausef("%d keys are remembered, the limit", len(b.entries))
	}
	e := &entry{key: key, expires: expires}
	b.entries[key] = e
	heap.Push(&b.byExpiry, e)
	return Result{state: Fresh}, nil
}

// Contains reports whether the key is remembered.
func (b *Registry) Contains(now time.Time, key string) bool {
	b.removeExpired(now)
	return b.entries[key] != nil
}

// Release forgets a claimed key that was not run and will not be.
func (b *Registry) Release(now time.Time, key string) {
	b.removeExpired(now)
	if e := b.entries[key]; e != nil && !e.settled {
		delete(b.entries, key)
		heap.Remove(&b.byExpiry, e.index)
	}
}

// Close makes the book refuse new keys; it goes on to tell what became of the
// others.
func (b *Registry) Close() { b.closed = true }

// ClosingRecord returns the statement of the keys claimed by that incarnation. The
// book must be closed.
func (b *Registry) ClosingRecord(now time.Time, incarnation string) ClosingRecord {
	b.removeExpired(now)
	c := ClosingRecord{Incarnation: incarnation, ClosedAt: b.latestTime, Claimed: make([]string, 0, len(b.entries))}
	for key := range b.entries {
		c.Claimed = append(c.Claimed, digest(key))
	}
	slices.Sort(c.Claimed)
	return c
}

// RecordOutcome notes the outcome of a claimed key. If it did not run, the key may be
// claimed again.
func (b *Registry) RecordOutcome(now time.Time, key string, o Outcome) {
	b.removeExpired(now)
	e := b.entries[key]
	if e == nil || e.settled {
		return
	}
	if _, err := o.Result(); rock.VerdictOf(err) == rock.NotRun {
		b.Release(now, key)
		return
	}
	e.settled, e.outcome = true, o
	b.answerBytes += o.size()
	b.answers = append(b.answers, e)
	for b.answerBytes > b.limits.MaxAnswerBytes {
		b.dropAnswer(b.answers[0])
		b.answers = b.answers[1:]
	}
}

// dropAnswer drops the answer of an entry.
func (b *Registry) dropAnswer(e *entry) {
	b.answerBytes -= e.outcome.size()
	if _, err := e.outcome.Result(); err == nil {
		e.outcome = NewOutcome(rock.Answer{}, newRefusal(rock.Duplicate, rock.MayHaveRun).Becausef("the key ran and its answer is no longer held"))
	}
}

// removeExpired forgets the keys that have expired.
func (b *Registry) removeExpired(now time.Time) {
	if now.After(b.latestTime) {
		b.latestTime = now
	}
	for len(b.byExpiry) > 0 && !b.latestTime.Before(b.byExpiry[0].expires) {
		e := heap.Pop(&b.byExpiry).(*entry)
		delete(b.entries, e.key)
		b.dropAnswer(e)
	}
	for len(b.answers) > 0 && !b.latestTime.Before(b.answers[0].expires) {
		b.answers = b.answers[1:]
	}
}

// result returns the state of the entry for a later send.
func (e *entry) result() Result {
	if !e.settled {
		return Result{state: Running}
	}
	return Result{state: Settled, outcome: e.outcome}
}

// newRefusal returns the refusal of a key.
func newRefusal(reason rock.Reason, verdict rock.Verdict) *rock.Failure {
	return rock.Fail("claim", "idempotency key", reason, verdict)
}
