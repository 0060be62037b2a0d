package claim

import (
	"container/heap"
	"slices"
	"time"

	rock "bramleyrock"
)

// Registry holds the claimed keys of one issuing entry, with their outcomes. A
// key whose request may have run is held until it expires, even if its answer is
// dropped to save memory. A Registry is not safe for concurrent use.
type Registry struct {
	limits   Limits
	entries  map[string]*entry
	byExpiry expiryHeap
	// answers holds the entries with an outcome, the oldest first.
	answers     []*entry
	answerBytes int
	// latestTime is the latest time that was passed to any method. Keys that
	// expired before it have been removed, so they must stay expired even if the
	// clock goes back.
	latestTime time.Time
	closed     bool
}

// NewRegistry returns an empty registry.
func NewRegistry(l Limits) *Registry {
	return &Registry{limits: l.withDefaults(), entries: map[string]*entry{}}
}

// Len returns the number of keys held.
func (r *Registry) Len() int { return len(r.entries) }

// Claim claims a key that expires at expires, or returns the state of the
// earlier claim. An expired key is refused with verdict [rock.MayHaveRun], since
// an earlier claim of it is no longer held. A new key is refused with verdict
// [rock.NotRun] if the registry is full or closed.
func (r *Registry) Claim(now time.Time, key string, expires time.Time) (Result, error) {
	r.removeExpired(now)
	if !r.latestTime.Before(expires) {
		return Result{}, newRefusal(rock.Expired, rock.MayHaveRun).Becausef("the key expired at %s", expires.UTC().Format(time.RFC3339))
	}
	if e := r.entries[key]; e != nil {
		return e.result(), nil
	}
	if r.closed {
		return Result{}, newRefusal(rock.Leaving, rock.NotRun).Becausef("the entry that issued the key is shutting down and the key was not claimed")
	}
	if len(r.entries) >= r.limits.MaxKeys {
		return Result{}, newRefusal(rock.Overloaded, rock.NotRun).RetryIn(r.byExpiry[0].expires.Sub(r.latestTime)).Becausef("%d keys are claimed already, which is the limit", len(r.entries))
	}
	e := &entry{key: key, expires: expires}
	r.entries[key] = e
	heap.Push(&r.byExpiry, e)
	return Result{state: Fresh}, nil
}

// Contains reports whether the key was claimed and has not expired.
func (r *Registry) Contains(now time.Time, key string) bool {
	r.removeExpired(now)
	return r.entries[key] != nil
}

// Release removes a claimed key whose request did not run and will not. The key
// may then be claimed again.
func (r *Registry) Release(now time.Time, key string) {
	r.removeExpired(now)
	if e := r.entries[key]; e != nil && !e.settled {
		delete(r.entries, key)
		heap.Remove(&r.byExpiry, e.index)
	}
}

// Close makes the registry refuse new keys. Claims of the keys that it holds are
// answered as before.
func (r *Registry) Close() { r.closed = true }

// ClosingRecord returns the record of all keys that are held, for the given
// incarnation of the issuing entry. The registry must be closed.
func (r *Registry) ClosingRecord(now time.Time, incarnation string) ClosingRecord {
	r.removeExpired(now)
	c := ClosingRecord{Incarnation: incarnation, ClosedAt: r.latestTime, Claimed: make([]string, 0, len(r.entries))}
	for key := range r.entries {
		c.Claimed = append(c.Claimed, digest(key))
	}
	slices.Sort(c.Claimed)
	return c
}

// RecordOutcome records how the request of a claimed key ended. If it did not
// run, the key is released. A key that is unknown or has an outcome already is
// ignored.
func (r *Registry) RecordOutcome(now time.Time, key string, o Outcome) {
	r.removeExpired(now)
	e := r.entries[key]
	if e == nil || e.settled {
		return
	}
	if _, err := o.Result(); rock.VerdictOf(err) == rock.NotRun {
		r.Release(now, key)
		return
	}
	e.settled, e.outcome = true, o
	r.answerBytes += o.size()
	r.answers = append(r.answers, e)
	for r.answerBytes > r.limits.MaxAnswerBytes {
		r.dropAnswer(r.answers[0])
		r.answers = r.answers[1:]
	}
}

// dropAnswer replaces the answer of an entry by a refusal, to free its memory.
func (r *Registry) dropAnswer(e *entry) {
	r.answerBytes -= e.outcome.size()
	if _, err := e.outcome.Result(); err == nil {
		e.outcome = NewOutcome(rock.Answer{}, newRefusal(rock.Duplicate, rock.MayHaveRun).Becausef("the key ran and its answer is no longer held"))
	}
}

// removeExpired removes the keys that have expired by the latest time seen.
func (r *Registry) removeExpired(now time.Time) {
	if now.After(r.latestTime) {
		r.latestTime = now
	}
	for len(r.byExpiry) > 0 && !r.latestTime.Before(r.byExpiry[0].expires) {
		e := heap.Pop(&r.byExpiry).(*entry)
		delete(r.entries, e.key)
		r.dropAnswer(e)
	}
	for len(r.answers) > 0 && !r.latestTime.Before(r.answers[0].expires) {
		r.answers = r.answers[1:]
	}
}

// result returns the result of claiming the entry's key again.
func (e *entry) result() Result {
	if !e.settled {
		return Result{state: Running}
	}
	return Result{state: Settled, outcome: e.outcome}
}

// newRefusal returns the error that refuses a key.
func newRefusal(reason rock.Reason, verdict rock.Verdict) *rock.Failure {
	return rock.Fail("claim", "idempotency key", reason, verdict)
}
