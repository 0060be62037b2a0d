package rock

import "context"

// Runner runs the requests of callers.
type Runner interface {
	// Do runs the request and returns its complete answer. Every error carries a
	// verdict.
	Do(ctx context.Context, r Request) (Answer, error)
}
