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
func (p *AdaptiveTimeout) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timeout()
}

func (p *AdaptiveTimeout) timeout() time.Duration {
	return min(p.Max, max(minTimeout, timeoutFactor*p.longest))
}

// RecordAnswer records that a call was answered after the time took.
func (p *AdaptiveTimeout) RecordAnswer(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = max(took, time.Duration(longestDecay*float64(p.longest)))
}

// RecordTimeout records that a call was not answered within the timeout waited.
func (p *AdaptiveTimeout) RecordTimeout(waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = max(p.longest, min(p.Max, 2*waited)/timeoutFactor)
}
