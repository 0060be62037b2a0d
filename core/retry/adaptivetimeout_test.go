package retry_test

import (
	"testing"
	"time"

	"bramleyrock/core/retry"

	"gotest.tools/v3/assert"
)

// An answer that is lost costs a fraction of a second while calls are fast, and no
// call of a slow spell is given up for good.
func TestPatience(t *testing.T) {
	const most = 1200 * time.Millisecond
	p := retry.AdaptiveTimeout{Max: most}
	for range 100 {
		p.RecordAnswer(10 * time.Millisecond)
	}
	assert.Assert(t, p.Timeout() < 500*time.Millisecond, "%v for calls of 10 ms", p.Timeout())
	tries := 0
	for p.Timeout() < 600*time.Millisecond {
		p.RecordTimeout(p.Timeout())
		tries++
	}
	assert.Assert(t, tries <= 2, "%d tries until a call of 600 ms is waited for", tries)
	for range 50 {
		p.RecordTimeout(p.Timeout())
	}
	assert.Equal(t, p.Timeout(), most)
	for range 200 {
		p.RecordAnswer(10 * time.Millisecond)
	}
	assert.Assert(t, p.Timeout() < 500*time.Millisecond, "%v after the slow spell", p.Timeout())
}
