package duty

import (
	"slices"
	"sync"
	"time"
)

// waitsLast is how long after its last round a duty still says what its
// subjects wait for.
const waitsLast = 30 * time.Second

// waits is what the subjects of a duty wait for. It is safe for concurrent
// use.
type waits struct {
	mu  sync.Mutex
	at  time.Time
	all []Waiting
}

func (w *waits) set(now time.Time, all []Waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at, w.all = now, all
}

// waiting returns what was set, if that was lately.
func (w *waits) waiting(now time.Time) []Waiting {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.at) > waitsLast {
		return nil
	}
	return slices.Clone(w.all)
}
