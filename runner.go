package rock

import "context"

// Runner runs requests of callers.
type Runner interface {
	// Do runs the request and returns its whole answer. Every error carries a
	// verdict.
	Do(ctx context.Context, r Request) (Answer, error)
}
