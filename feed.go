package rock

import (
	"context"
	"time"
)

// Feed reads the changes of the platform's tables. Keys of rows have the form
// "table/part/name".
type Feed interface {
	// Changes returns the rows of the table that changed after the version, in
	// order of change; a deleted row has no value and reports [Row.Deleted]. If
	// there is none, it waits up to wait for one. An [Expired] failure means that
	// the platform no longer has the changes since the version, so that the
	// table must be listed again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// List returns the rows of a part of a table whose names are in the range
	// from <= name < to; an empty to means no upper bound.
	List(ctx context.Context, table, part, from, to string) (Changes, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
}

// Store is the platform's table together with its feed of changes.
type Store interface {
	Feed
	// Apply applies all writes of a transaction atomically and returns the
	// version of the written rows. All rows must be in the same part. Its
	// failures are those of [Table.Commit].
	Apply(ctx context.Context, t Transaction) (uint64, error)
}

// Changes is a set of rows as of one version of the platform's table.
type Changes struct {
	// Rows holds the rows: in order of change from [Feed.Changes], in order of
	// key from [Feed.List].
	Rows []Row
	// Version is the version up to which the rows are complete.
	Version uint64
	// Now is the time on the platform's monotonic clock.
	Now time.Duration
}
