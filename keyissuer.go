package rock

import "time"

// KeyIssuer issues idempotency keys.
type KeyIssuer interface {
	// IssueKeys returns count new keys for the organisation, and the time at
	// which they expire. Errors have verdict [NotRun].
	IssueKeys(now time.Time, organisation string, count int) ([]string, time.Time, error)
}
