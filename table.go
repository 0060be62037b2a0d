package rock

import "context"

// Table is the platform's transactional table of rows.
type Table interface {
	// Read returns the rows with these keys, in the order of the keys; a missing
	// row has version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and are
	// greater than after, in order of key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes of a transaction atomically. It returns a
	// [Conflict] failure with verdict [NotRun] if a condition does not hold,
	// [OutcomeUnknown] with verdict [MayHaveRun] if the answer was lost, and
	// [Unavailable] with verdict [NotRun] if the platform did not receive or
	// refused the call.
	Commit(ctx context.Context, t Transaction) error
}
