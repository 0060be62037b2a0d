package duty

import (
	"slices"
	"sync"
	"time"
)

// waitingTTL is how long the result of a round is reported. It is older only if the
// duty has not run a round since, such as after its lease was lost.
const waitingTTL = 30 * time.Second

// waitingList holds what the subjects of a duty waited for at its last round. It is
// safe for concurrent use.
type waitingList struct {
	mu    sync.Mutex
	setAt time.Time
	items []Waiting
}

func (w *waitingList) set(now time.Time, all []Waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setAt, w.items = now, all
}

// waiting returns the items of the last round, or nil if they are older than
// waitingTTL at the time now.
func (w *waitingList) waiting(now time.Time) []Waiting {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.setAt) > waitingTTL {
		return nil
	}
	return slices.Clone(w.items)
}
