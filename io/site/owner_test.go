package site

import (
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

// TestQueuedEventsGetTheTimeOfTheirHandling guards against answers that are dated before they
// arrived: a report that was requested in between would count as newer than the answer.
// Time passes while queued events are handled.
func TestQueuedEventsGetTheTimeOfTheirHandling(t *testing.T) {
	t.Parallel()
	clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	s := &Site{settings: Settings{Clock: func() time.Time { return clock }}}
	o := &cellOwner{site: s, events: make(chan func(time.Time), maxEvents)}
	var arrived, handled time.Time
	o.enqueue(t.Context(), func(time.Time) {
		clock = clock.Add(10 * time.Millisecond) // the event takes some time
		arrived = clock
		o.enqueue(t.Context(), func(now time.Time) { handled = now })
	})
	o.handleQueuedEvents()
	assert.Assert(t, !handled.Before(arrived), "handled at %v, arrived at %v", handled, arrived)
}

// TestSlowDecisionsLeaveTimeForOrders guards against an owner with little CPU that spends
// its time on decisions, so that its orders are sent too late to count.
func TestSlowDecisionsLeaveTimeForOrders(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		took time.Duration // by a decision
		want int           // decisions in a second
	}{
		"fast":      {0, 200},
		"slow":      {20 * time.Millisecond, 9},
		"suspended": {5 * time.Second, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o, _, _ := waitsFixture(start)
			now := start
			o.site.settings.Clock = func() time.Time { return now.Add(c.took) }
			decisions := 0
			for ; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
				o.lease = tenure.NewLease(tenure.Record{Homes: []int{0}}, []tenure.AcquiredHome{{Home: 0, Version: 1, SentAt: now}})
				o.changed = true
				o.decide(now)
				if o.decidedAt.Equal(now) {
					decisions++
				}
			}
			assert.Equal(t, decisions, c.want)
		})
	}
}
