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
	const longest = 1200 * time.Millisecond
	timeout := retry.AdaptiveTimeout{Max: longest}
	for range 100 {
		timeout.RecordAnswer(10 * time.Millisecond)
	}
	assert.Assert(t, timeout.Timeout() < 500*time.Millisecond, "%v for calls of 10 ms", timeout.Timeout())
	attempts := 0
	for timeout.Timeout() < 600*time.Millisecond {
		timeout.RecordTimeout(timeout.Timeout())
		attempts++
	}
	assert.Assert(t, attempts <= 2, "%d attempts until a call of 600 ms can succeed", attempts)
	for range 50 {
		timeout.RecordTimeout(timeout.Timeout())
	}
	assert.Equal(t, timeout.Timeout(), longest)
	for range 200 {
		timeout.RecordAnswer(10 * time.Millisecond)
	}
	assert.Assert(t, timeout.Timeout() < 500*time.Millisecond, "%v after the service was slow", timeout.Timeout())
}
