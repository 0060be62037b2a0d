package rock

import (
	"context"
	"time"
)

// Feed follows the changes of tables. Keys of rows have the form
// "table/part/name".
type Feed interface {
	// Changes returns the rows of the table that changed after the version,
	// in order; a deleted row has no value and is [Row.Deleted]. It waits for
	// a change that long. An [Expired] failure means that the changes are no
	// longer kept and the table must be read anew.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// List returns all rows of a part of a table whose names are at least
	// from and below to; an empty to means no bound.
	List(ctx context.Context, table, part, from, to string) (Changes, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
}

// Store is the platform's table with its feed.
type Store interface {
	Feed
	// Apply applies all writes of a transaction whose rows share one part, or
	// none, and returns the version of the written rows. Its failures are
	// those of [Table.Commit].
	Apply(ctx context.Context, t Transaction) (uint64, error)
}

// Changes is a set of rows as of one version of the platform's table.
type Changes struct {
	// Rows holds the rows, in order of change or of key.
	Rows []Row
	// Version is the version up to which the rows are complete.
	Version uint64
	// Now is the platform's steady clock.
	Now time.Duration
}
