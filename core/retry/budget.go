package retry

import (
	"math"
	"time"
)

const (
	// defaultShare is the number of retries that a success pays for.
	defaultShare = 0.1
	// window is how long a success pays for retries, about.
	window = time.Second
)

// Budget is the retries that a pool may have. Its zero value is empty and
// ready to use. It is not safe for concurrent use.
type Budget struct {
	// RetriesPerSuccess is the number of retries that a success pays for; zero means 0.1.
	RetriesPerSuccess float64
	// Unlimited allows every retry.
	Unlimited bool

	tokens float64
	// rate is the moving number of successes in a window.
	rate float64
	seen time.Time
}

// RecordSuccess notes a success.
func (b *Budget) RecordSuccess(now time.Time) {
	b.decay(now)
	b.rate++
	b.tokens = min(b.tokens+b.share(), b.most())
}

// TryWithdraw takes a retry out of the budget and reports whether there was one.
func (b *Budget) TryWithdraw(now time.Time) bool {
	if b.Unlimited {
		return true
	}
	b.decay(now)
	b.tokens = min(b.tokens, b.most())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// most returns the greatest number of retries that are kept: those that the
// successes of one window pay for, and one at least.
func (b *Budget) most() float64 { return max(1, b.share()*b.rate) }

// share returns how many retries each success earns.
func (b *Budget) share() float64 {
	if b.RetriesPerSuccess > 0 {
		return b.RetriesPerSuccess
	}
	return defaultShare
}

// decay lets the rate fade.
func (b *Budget) decay(now time.Time) {
	if past := now.Sub(b.seen); past > 0 {
		b.rate *= math.Exp(-float64(past) / float64(window))
		b.seen = now
	}
}
