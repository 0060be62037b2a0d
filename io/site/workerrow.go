package site

import (
	"time"

	"bramleyrock/core/works"
)

// workerRow is the row of a worker that a cell orders.
type workerRow struct {
	// UntilMS is when the worker's last lease has passed for certain, in
	// milliseconds of the table's clock; 0 while the lease is extended.
	UntilMS int64 `cbor:"1,keyasint,omitempty"`
	// Stamp tells which of two rows of the worker is newer.
	Stamp works.Stamp `cbor:"2,keyasint"`
}

// tableTime returns a time on the table's clock, in milliseconds, at least as
// late as it is. The zero time is 0.
func (o *cellOwner) tableTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Sub(o.tableEpochEarliest).Milliseconds() + 1
}

// entryTime returns the time of the entry's clock for one of the table's clock,
// at least as late as it is.
func (o *cellOwner) entryTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return o.tableEpochLatest.Add(time.Duration(ms) * time.Millisecond)
}
