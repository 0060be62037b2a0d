package tenure_test

import (
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

// TestLateness guards against releases of cells without lasting overload, and of several
// cells at once.
func TestLateness(t *testing.T) {
	const probe = 50 * time.Millisecond
	cases := map[string]struct {
		late  time.Duration
		times int
		owned time.Duration
		want  bool
	}{
		"lateness from a CPU quota": {late: 100 * time.Millisecond, times: 600, owned: time.Minute},
		"long suspension":           {late: 4 * time.Second, times: 1, owned: time.Minute},
		"lasting overload":          {late: 300 * time.Millisecond, times: 10, owned: time.Minute, want: true},
		"short overload":            {late: 300 * time.Millisecond, times: 3, owned: time.Minute},
		"acquired recently":         {late: 300 * time.Millisecond, times: 15, owned: 5 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l tenure.Lateness
			now := start
			l.Record(now, 0)
			for range c.times {
				now = now.Add(probe + c.late)
				l.Record(now, c.late)
			}
			assert.Equal(t, l.DecideRelease(now, now.Add(-c.owned)), c.want, "mean lateness %v", l.Mean())
			if c.want {
				assert.Assert(t, !l.DecideRelease(now.Add(time.Second), now.Add(-c.owned)), "two cells were released within MinReleaseInterval")
			}
		})
	}
}
