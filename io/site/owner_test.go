package site

import (
	"testing"
	"time"

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
