package link

import (
	"context"
	"sync"
	"time"

	rock "bramleyrock"
)

// ledger is what a server remembers of the requests that came over one link,
// across the connections that carried it. It lets the dialler ask, over a new
// connection, what became of a request whose answer was lost with the old one.
type ledger struct {
	limits Limits

	mu        sync.Mutex
	current   *session
	records   map[uint64]*record
	ended     []uint64 // ids of ended records, oldest first
	bytes     int      // of the bodies of ended records
	forgotten uint64   // greatest id of which nothing may be known
}

// The greatest number and size in bytes of the answers kept of one link.
const (
	maxKeptAnswers     = 16384
	maxKeptAnswerBytes = 4 << 20
)

// record is one request that was taken.
type record struct {
	cancel context.CancelFunc
	done   chan struct{}

	// The fields below are set before done is closed.
	body    []byte
	failure *failureForm
	endedAt time.Time
}

// newLedger returns the ledger of a link whose calls up to the id lastID came
// before it.
func newLedger(limits Limits, lastID uint64) *ledger {
	return &ledger{limits: limits, records: map[uint64]*record{}, forgotten: lastID}
}

// attach makes s the only session that may take requests over the link: what
// still comes over an older connection is not run.
func (l *ledger) attach(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = s
}

// idle reports whether s was the link's last session and nothing is running.
func (l *ledger) idle(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current == s && len(l.records) == len(l.ended)
}

// start notes a request that is about to be run. It returns false if a newer
// connection has replaced that of the session.
func (l *ledger) start(s *session, id uint64, cancel context.CancelFunc) (*record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != s {
		return nil, false
	}
	r := &record{cancel: cancel, done: make(chan struct{})}
	l.records[id] = r
	return r, true
}

// end notes the outcome of a request.
func (l *ledger) end(now time.Time, id uint64, r *record, body []byte, failure *failureForm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.body, r.failure, r.endedAt = body, failure, now
	close(r.done)
	l.ended = append(l.ended, id)
	l.bytes += len(body)
	l.evict(now)
}

// evict forgets ended requests that are old or too many.
func (l *ledger) evict(now time.Time) {
	for len(l.ended) > 0 {
		id := l.ended[0]
		r := l.records[id]
		young := now.Sub(r.endedAt) < l.limits.KeepAnswers
		if young && len(l.ended) <= maxKeptAnswers && l.bytes <= maxKeptAnswerBytes {
			return
		}
		l.ended = l.ended[1:]
		l.bytes -= len(r.body)
		l.forgotten = max(l.forgotten, id)
		delete(l.records, id)
	}
}

// find returns the record of a request. If there is none, the error says
// whether the request may have run: it did not if nothing of its age was
// forgotten, since its own connection can no longer deliver it.
func (l *ledger) find(id uint64) (*record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.records[id]; ok {
		return r, nil
	}
	lost := func(v rock.Verdict) *rock.Failure {
		return rock.Fail(string(opResume), "", rock.Unavailable, v)
	}
	if id <= l.forgotten {
		return nil, lost(rock.MayHaveRun).Becausef("the request is not remembered")
	}
	return nil, lost(rock.NotRun).Becausef("the request never arrived")
}
