package tenure_test

import (
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestNext checks when a challenger may take over a home, so that no home is taken
// over from an owner that may still act, and none stays without an owner.
func TestNext(t *testing.T) {
	me := tenure.Owner{Name: "e1", Session: "s1"}
	other := tenure.Owner{Name: "e2", Session: "s9"}
	cases := map[string]struct {
		owner    tenure.Owner
		idle     time.Duration
		answered time.Duration
		delay    time.Duration
		unread   bool // since the lease expired
		want     tenure.Action
	}{
		"another renews":                                 {other, time.Second, time.Minute, 0, false, tenure.Wait},
		"another stopped renewing":                       {other, tenure.TakeoverTimeout, time.Minute, 0, false, tenure.Acquire},
		"less loaded entries go first":                   {other, tenure.TakeoverTimeout, time.Minute, time.Second, false, tenure.Wait},
		"the table did not answer":                       {other, time.Minute, 100 * time.Millisecond, 0, false, tenure.Wait},
		"the home is not read":                           {other, time.Minute, time.Minute, 0, true, tenure.Wait},
		"the table is down":                              {other, time.Minute, -1, 0, false, tenure.Wait},
		"the owner released the cell":                    {tenure.Owner{}, 0, time.Minute, 0, false, tenure.Acquire},
		"an earlier session of this entry":               {tenure.Owner{Name: "e1", Session: "s0"}, 0, time.Minute, time.Second, false, tenure.Acquire},
		"this session took it but does not own the cell": {me, time.Second, time.Minute, 0, false, tenure.Acquire},
		"this session released it to others":             {me, time.Second, time.Minute, 2 * time.Second, false, tenure.Wait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var v tenure.HomeView
			v.Observe(start, c.owner, 5, 7)
			v.ObserveAnswer(start)
			now := start.Add(c.idle)
			if !c.unread && c.idle >= tenure.LeaseDuration {
				v.ObserveAnswer(start.Add(tenure.LeaseDuration))
			}
			since := now.Add(-c.answered)
			if c.answered < 0 {
				since = time.Time{}
			}
			assert.Equal(t, v.NextAction(now, me, since, c.delay), c.want)
		})
	}
}

// A challenger that has not read a home must not take it over: it may have an owner.
func TestUnknownCellIsNotTaken(t *testing.T) {
	var v tenure.HomeView
	assert.Equal(t, v.NextAction(start, tenure.Owner{Name: "e1"}, start.Add(-time.Minute), 0), tenure.Wait)
}

// An answer with older rows arrives after one with newer rows. It must neither change
// the known owner nor count as a renewal.
func TestRenewalsAreSeenInAnyOrder(t *testing.T) {
	var v tenure.HomeView
	other := tenure.Owner{Name: "e2"}
	v.Observe(start, other, 5, 9)
	v.Observe(start.Add(time.Second), tenure.Owner{Name: "e0"}, 4, 8) // a late answer
	v.ObserveAnswer(start.Add(tenure.LeaseDuration))
	assert.Equal(t, v.Owner(), other)
	owner, renewal := v.Versions()
	assert.Equal(t, owner, uint64(5))
	assert.Equal(t, renewal, uint64(9))
	assert.Equal(t, v.NextAction(start.Add(tenure.TakeoverTimeout), tenure.Owner{Name: "e1"}, start, 0), tenure.Acquire)
}

// An owner must have stopped acting before a challenger may take over its cell, even
// if the rates of their clocks differ by a tenth.
func TestOwnerStopsBeforeItsCellIsTaken(t *testing.T) {
	assert.Assert(t, float64(tenure.TakeoverTimeout) > 1.1*float64(tenure.LeaseDuration))
	assert.Assert(t, 4*tenure.RenewInterval < tenure.LeaseDuration)
}
