package tenure_test

import (
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestNext(t *testing.T) {
	me := tenure.Owner{Name: "e1", Session: "s1"}
	other := tenure.Owner{Name: "e2", Session: "s9"}
	cases := map[string]struct {
		owner    tenure.Owner
		idle     time.Duration
		answered time.Duration
		delay    time.Duration
		want     tenure.Action
	}{
		"another renews":                                 {other, time.Second, time.Minute, 0, tenure.Wait},
		"another fell silent":                            {other, tenure.TakeoverTimeout, time.Minute, 0, tenure.Acquire},
		"less loaded entries go first":                   {other, tenure.TakeoverTimeout, time.Minute, time.Second, tenure.Wait},
		"the table was away":                             {other, time.Minute, 100 * time.Millisecond, 0, tenure.Wait},
		"the table is away":                              {other, time.Minute, -1, 0, tenure.Wait},
		"the owner gave the cell up":                     {tenure.Owner{}, 0, time.Minute, 0, tenure.Acquire},
		"an earlier session of this entry":               {tenure.Owner{Name: "e1", Session: "s0"}, 0, time.Minute, time.Second, tenure.Acquire},
		"this session took it and does not own the cell": {me, time.Second, time.Minute, 0, tenure.Acquire},
		"this session gave it up to others":              {me, time.Second, time.Minute, 2 * time.Second, tenure.Wait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var v tenure.HomeView
			v.Observe(start, c.owner, 5, 7)
			now := start.Add(c.idle)
			since := now.Add(-c.answered)
			if c.answered < 0 {
				since = time.Time{}
			}
			assert.Equal(t, v.NextAction(now, me, since, c.delay), c.want)
		})
	}
}

func TestUnknownCellIsNotTaken(t *testing.T) {
	var v tenure.HomeView
	assert.Equal(t, v.NextAction(start, tenure.Owner{Name: "e1"}, start.Add(-time.Minute), 0), tenure.Wait)
}

func TestRenewalsAreSeenInAnyOrder(t *testing.T) {
	var v tenure.HomeView
	other := tenure.Owner{Name: "e2"}
	v.Observe(start, other, 5, 9)
	v.Observe(start.Add(time.Second), tenure.Owner{Name: "e0"}, 4, 8) // told late
	assert.Equal(t, v.Owner(), other)
	owner, beat := v.Versions()
	assert.Equal(t, owner, uint64(5))
	assert.Equal(t, beat, uint64(9))
	assert.Equal(t, v.NextAction(start.Add(tenure.TakeoverTimeout), tenure.Owner{Name: "e1"}, start, 0), tenure.Acquire)
}

// An owner must have stopped acting before anybody may take its cell, even if
// the two clocks differ by a tenth.
func TestOwnerStopsBeforeItsCellIsTaken(t *testing.T) {
	assert.Assert(t, float64(tenure.TakeoverTimeout) > 1.1*float64(tenure.LeaseDuration))
	assert.Assert(t, 4*tenure.RenewInterval < tenure.LeaseDuration)
}
