package retry

import (
	"math"
	"time"
)

const (
	// defaultRetriesPerSuccess is the number of retries that a success pays for.
	defaultRetriesPerSuccess = 0.1
	// budgetWindow is how long a success pays for retries, about.
	budgetWindow = time.Second
)

// Budget is the retries that a pool may have. Its zero value is empty and
// ready to use. It is not safe for concurrent use.
type Budget struct {
	// RetriesPerSuccess is the number of retries that a success pays for; zero means 0.1.
	RetriesPerSuccess float64
	// Unlimited allows every retry.
	Unlimited bool

	tokens float64
	// successRate is the moving number of successes in a window.
	successRate float64
	decayedAt   time.Time
}

// RecordSuccess notes a success.
func (b *Budget) RecordSuccess(now time.Time) {
	b.decay(now)
	b.successRate++
	b.tokens = min(b.tokens+b.retriesPerSuccess(), b.maxTokens())
}

// TryWithdraw takes a retry out of the budget and reports whether there was one.
func (b *Budget) TryWithdraw(now time.Time) bool {
	if b.Unlimited {
		return true
	}
	b.decay(now)
	b.tokens = min(b.tokens, b.maxTokens())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxTokens returns the greatest number of retries that are kept: those that the
// successes of one window pay for, and one at least.
func (b *Budget) maxTokens() float64 { return max(1, b.retriesPerSuccess()*b.successRate) }

// retriesPerSuccess returns how many retries each success earns.
func (b *Budget) retriesPerSuccess() float64 {
	if b.RetriesPerSuccess > 0 {
		return b.RetriesPerSuccess
	}
	return defaultRetriesPerSuccess
}

// decay lets the rate fade.
func (b *Budget) decay(now time.Time) {
	if past := now.Sub(b.decayedAt); past > 0 {
		b.successRate *= math.Exp(-float64(past) / float64(budgetWindow))
		b.decayedAt = now
	}
}
