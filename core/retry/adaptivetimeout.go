package retry

import (
	"sync"
	"time"
)

const (
	// minTimeout is the shortest time that an answer is waited for: several
	// times that of a call across zones, and as long as a process with a fraction
	// of a core may run late.
	minTimeout = 300 * time.Millisecond
	// timeoutFactor is how many times the longest recent call an answer is waited
	// for.
	timeoutFactor = 3
	// longestDecay is the share of the longest recent call that is left after
	// another one: it is forgotten after some tens of calls.
	longestDecay = 0.92
)

// AdaptiveTimeout is how long to wait for the answer of a service whose calls take
// milliseconds as a rule, but may be slow for a while, and whose answers may be
// lost. It grows with the calls that were answered lately, and doubles with each
// that was not. It is safe for concurrent use.
type AdaptiveTimeout struct {
	// Max is the longest time to wait.
	Max time.Duration

	mu      sync.Mutex
	longest time.Duration
}

// Timeout returns how long to wait for an answer now.
func (p *AdaptiveTimeout) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timeout()
}

func (p *AdaptiveTimeout) timeout() time.Duration {
	return min(p.Max, max(minTimeout, timeoutFactor*p.longest))
}

// RecordAnswer notes that a call was answered after that time.
func (p *AdaptiveTimeout) RecordAnswer(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = max(took, time.Duration(longestDecay*float64(p.longest)))
}

// RecordTimeout notes that a call was not answered within the limit that was waited.
func (p *AdaptiveTimeout) RecordTimeout(waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = max(p.longest, min(p.Max, 2*waited)/timeoutFactor)
}
