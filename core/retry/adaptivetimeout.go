package retry

import (
	"sync"
	"time"
)

const (
	// minTimeout is the shortest timeout. It is several times the duration of a
	// call across zones, and covers the delay of a process that has a fraction of
	// a core.
	minTimeout = 300 * time.Millisecond
	// timeoutFactor is the ratio of the timeout to the longest recent call.
	timeoutFactor = 3
	// longestDecay is the factor by which each answered call reduces the longest
	// recent duration, so that a slow call has an effect for some tens of calls.
	longestDecay = 0.92
)

// AdaptiveTimeout is the timeout of calls to a service that usually answers
// within milliseconds, but may be slow for a while, and whose answers may be lost.
// It is a multiple of the longest recent call and doubles with each call that
// times out. It is safe for concurrent use.
type AdaptiveTimeout struct {
	// Max is the longest timeout.
	Max time.Duration

	mu      sync.Mutex
	longest time.Duration
}

// Timeout returns the timeout of a call that starts now.
func (t *AdaptiveTimeout) Timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeout()
}

func (t *AdaptiveTimeout) timeout() time.Duration {
	return min(t.Max, max(minTimeout, timeoutFactor*t.longest))
}

// RecordAnswer records that a call was answered after the time took.
func (t *AdaptiveTimeout) RecordAnswer(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest = max(took, time.Duration(longestDecay*float64(t.longest)))
}

// RecordTimeout records that a call was not answered within the timeout waited.
func (t *AdaptiveTimeout) RecordTimeout(waited time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest = max(t.longest, min(t.Max, 2*waited)/timeoutFactor)
}
