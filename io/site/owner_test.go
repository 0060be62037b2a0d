package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEventsAreTakenInAtTheirTime lets time pass while the events that wait are
// taken in. An answer that is dated before it came makes a report that was asked
// for meanwhile look newer than the answer.
func TestEventsAreTakenInAtTheirTime(t *testing.T) {
	t.Parallel()
	clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	s := &Site{settings: Settings{Clock: func() time.Time { return clock }}}
	o := &cellOwner{site: s, events: make(chan func(time.Time), maxEvents)}
	var came, taken time.Time
	o.enqueue(t.Context(), func(time.Time) {
		clock = clock.Add(10 * time.Millisecond) // the event takes its time
		came = clock
		o.enqueue(t.Context(), func(now time.Time) { taken = now })
	})
	o.handleQueuedEvents()
	assert.Assert(t, !taken.Before(came), "taken in at %v, came at %v", taken, came)
}
