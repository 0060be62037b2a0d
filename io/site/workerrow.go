package site

import (
	"time"

	"bramleyrock/core/works"
)

// workerRow is the value of the row of a worker to which a cell's owner sends orders.
type workerRow struct {
	// UntilMS is the end of the worker's last lease at the latest, in milliseconds of
	// the table's clock. It is 0 while the lease is being renewed.
	UntilMS int64 `cbor:"1,keyasint,omitempty"`
	// Stamp says which of two rows of the worker is newer.
	Stamp works.Stamp `cbor:"2,keyasint"`
}

// tableTime converts a time of the entry's clock to milliseconds of the table's clock,
// rounded so that it is never too early. The zero time is 0.
func (o *cellOwner) tableTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Sub(o.tableEpochEarliest).Milliseconds() + 1
}

// entryTime converts milliseconds of the table's clock to a time of the entry's clock
// that is never too early. 0 is the zero time.
func (o *cellOwner) entryTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return o.tableEpochLatest.Add(time.Duration(ms) * time.Millisecond)
}
