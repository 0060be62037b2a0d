package tenure_test

import (
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

func TestLateness(t *testing.T) {
	const probe = 50 * time.Millisecond
	cases := map[string]struct {
		late  time.Duration
		times int
		owned time.Duration
		want  bool
	}{
		"quota of a processor":       {late: 100 * time.Millisecond, times: 600, owned: time.Minute},
		"long freeze":                {late: 4 * time.Second, times: 1, owned: time.Minute},
		"too much work":              {late: 300 * time.Millisecond, times: 10, owned: time.Minute, want: true},
		"too much work for a moment": {late: 300 * time.Millisecond, times: 3, owned: time.Minute},
		"taken just now":             {late: 300 * time.Millisecond, times: 15, owned: 5 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s tenure.Lateness
			now := start
			s.Record(now, 0)
			for range c.times {
				now = now.Add(probe + c.late)
				s.Record(now, c.late)
			}
			assert.Equal(t, s.DecideRelease(now, now.Add(-c.owned)), c.want, "mean lateness %v", s.Mean())
			if c.want {
				assert.Assert(t, !s.DecideRelease(now.Add(time.Second), now.Add(-c.owned)), "cells were given up together")
			}
		})
	}
}
