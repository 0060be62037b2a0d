package books

import (
	"context"
	"time"

	"bramleyrock/io/duty"
)

// compactionName is the name of the duty and its lease.
const compactionName = "snapshot"

// compaction is the duty that writes snapshots.
type compaction struct {
	books *Books
}

// Compaction returns the duty that writes snapshots.
func (b *Books) Compaction() duty.Duty { return compaction{books: b} }

// Name implements [duty.Duty].
func (c compaction) Name() string { return compactionName }

// Round implements [duty.Duty].
func (c compaction) Round(ctx context.Context, _ time.Time, params duty.RoundParams) error {
	_, err := c.books.Compact(ctx, params.Guard)
	return err
}
