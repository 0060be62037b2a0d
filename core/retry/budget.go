package retry

import (
	"math"
	"time"
)

const (
	// defaultRetriesPerSuccess is the default of [Budget.RetriesPerSuccess].
	defaultRetriesPerSuccess = 0.1
	// budgetWindow is the time constant with which the success rate decays. It is
	// roughly how long a success can pay for a retry.
	budgetWindow = time.Second
)

// Budget is the retry budget of a pool, a token bucket that successes fill. Its
// zero value is empty and ready to use. It is not safe for concurrent use.
type Budget struct {
	// RetriesPerSuccess is the number of retries that each success adds to the
	// budget; zero means 0.1.
	RetriesPerSuccess float64
	// Unlimited disables the budget: every retry is allowed.
	Unlimited bool

	tokens float64
	// successRate is the number of successes, decaying with budgetWindow.
	successRate float64
	decayedAt   time.Time
}

// RecordSuccess records a success, which adds RetriesPerSuccess to the budget.
func (b *Budget) RecordSuccess(now time.Time) {
	b.decay(now)
	b.successRate++
	b.tokens = min(b.tokens+b.retriesPerSuccess(), b.maxTokens())
}

// TryWithdraw removes one retry from the budget and reports whether there was
// one.
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

// maxTokens returns the capacity of the budget: the retries that the successes of
// one window pay for, but at least one.
func (b *Budget) maxTokens() float64 { return max(1, b.retriesPerSuccess()*b.successRate) }

// retriesPerSuccess returns RetriesPerSuccess or its default.
func (b *Budget) retriesPerSuccess() float64 {
	if b.RetriesPerSuccess > 0 {
		return b.RetriesPerSuccess
	}
	return defaultRetriesPerSuccess
}

// decay reduces the success rate by the time that has passed since the last call.
func (b *Budget) decay(now time.Time) {
	if past := now.Sub(b.decayedAt); past > 0 {
		b.successRate *= math.Exp(-float64(past) / float64(budgetWindow))
		b.decayedAt = now
	}
}
