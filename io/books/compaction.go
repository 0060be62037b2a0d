package books

import (
	"context"
	"time"

	"bramleyrock/io/duty"
)

// compactionName names the duty and its lease.
const compactionName = "snapshot"

// compaction is the duty that writes snapshots.
type compaction struct {
	books *Books
}

// Compaction returns the duty that writes snapshots, for the runner of duties.
func (b *Books) Compaction() duty.Duty { return compaction{books: b} }

// Name implements [duty.Duty].
func (c compaction) Name() string { return compactionName }

// Round implements [duty.Duty].
func (c compaction) Round(ctx context.Context, _ time.Time, turn duty.RoundParams) error {
	_, err := c.books.Compact(ctx, turn.Guard)
	return err
}
