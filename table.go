package rock

import "context"

// Table is the platform's transactional table of rows.
type Table interface {
	// Read returns the rows with these keys, in order; a missing row has
	// version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and are
	// greater than after, in order of key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes of a transaction, or none. A condition that
	// does not hold is a [Conflict] failure with verdict [NotRun]; a lost
	// answer is [OutcomeUnknown] with verdict [MayHaveRun]; a platform that did
	// not take the call is [Unavailable] with verdict [NotRun].
	Commit(ctx context.Context, t Transaction) error
}
