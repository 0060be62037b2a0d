package retry_test

import (
	"testing"
	"time"

	"bramleyrock/core/retry"

	"gotest.tools/v3/assert"
)

// A lost answer must cost only a fraction of a second while calls are fast. When
// the service becomes slow, the timeout must grow until its calls succeed, and
// shrink again afterwards.
func TestAdaptiveTimeout(t *testing.T) {
	const most = 1200 * time.Millisecond
	p := retry.AdaptiveTimeout{Max: most}
	for range 100 {
		p.RecordAnswer(10 * time.Millisecond)
	}
	assert.Assert(t, p.Timeout() < 500*time.Millisecond, "%v for calls of 10 ms", p.Timeout())
	attempts := 0
	for p.Timeout() < 600*time.Millisecond {
		p.RecordTimeout(p.Timeout())
		attempts++
	}
	assert.Assert(t, attempts <= 2, "%d attempts until a call of 600 ms can succeed", attempts)
	for range 50 {
		p.RecordTimeout(p.Timeout())
	}
	assert.Equal(t, p.Timeout(), most)
	for range 200 {
		p.RecordAnswer(10 * time.Millisecond)
	}
	assert.Assert(t, p.Timeout() < 500*time.Millisecond, "%v after the service was slow", p.Timeout())
}
