package link

import (
	"sync"
	"time"
)

// ledgers holds the ledger of each link that was accepted.
type ledgers struct {
	limits Limits

	mu   sync.Mutex
	all  map[string]*ledger
	left map[string]time.Time // when the last session of a link ended
}

func newLedgers(limits Limits) *ledgers {
	return &ledgers{limits: limits, all: map[string]*ledger{}, left: map[string]time.Time{}}
}

// open returns the ledger of the link and makes s its session.
func (l *ledgers) open(now time.Time, link linkForm, s *session) *ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	opened, ok := l.all[link.Name]
	if !ok {
		opened = newLedger(l.limits, link.LastID)
		l.all[link.Name] = opened
	}
	delete(l.left, link.Name)
	opened.attach(s)
	return opened
}

// leave notes that the session ended. The link's ledger is kept for a while,
// for the next session.
func (l *ledgers) leave(now time.Time, link string, s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if opened := l.all[link]; opened != nil && opened.idle(s) {
		l.left[link] = now
	}
}

func (l *ledgers) forget(now time.Time) {
	for link, at := range l.left {
		if now.Sub(at) > l.limits.KeepLinks {
			delete(l.left, link)
			delete(l.all, link)
		}
	}
}
