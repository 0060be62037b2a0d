package boot

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClockCountsSuspensions guards against a process that takes a lease for valid because
// the host was suspended. The time must be right at the first reading after a suspension,
// however soon after the reading before it, and whatever happens to the time of day.
func TestClockCountsSuspensions(t *testing.T) {
	const step = 10 * time.Millisecond
	cases := map[string]struct{ suspended, stepped time.Duration }{
		"undisturbed":               {0, 0},
		"suspended for a moment":    {5 * time.Millisecond, 0},
		"suspended for long":        {4 * time.Second, 0},
		"time of day set back":      {0, -time.Minute},
		"time of day set forward":   {0, time.Hour},
		"set back while suspended":  {4 * time.Second, -time.Second},
		"steps by the same, almost": {4 * time.Second, -4*time.Second + 2*time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
			var steady, suspended, stepped time.Duration
			calls := 0
			clock := newClock(start, func() reading { return reading{wall: steady + suspended + stepped, steady: steady} }, func() time.Duration {
				calls++
				return time.Hour + steady + suspended
			})
			for i := range 100 {
				steady += step
				if i == 50 {
					suspended, stepped = c.suspended, c.stepped
				}
				assert.Equal(t, clock.Now().Sub(start), steady+suspended, "reading %d", i)
			}
			assert.Assert(t, calls < 20, "%d system calls", calls)
		})
	}
}

func TestClockFollowsTheSystem(t *testing.T) {
	c := NewClock(time.Now())
	start := c.Now()
	before := time.Now()
	time.Sleep(250 * time.Millisecond)
	got, want := c.Now().Sub(start), time.Since(before)
	assert.Assert(t, (got-want).Abs() < 20*time.Millisecond, "%v instead of %v", got, want)
}
