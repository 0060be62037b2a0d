package rock

import (
	"context"
	"time"
)

// Ticket is the placement adviser's permission to run a step on a worker.
type Ticket struct {
	// Worker is the id of the worker.
	Worker string
	// Ticket is the text that the worker checks.
	Ticket string
}

// Adviser is the platform's placement adviser, which decides on which workers
// the tasks of some queues may run.
type Adviser interface {
	// Advise returns tickets for those of the workers that may run the step,
	// and how long the tickets are valid.
	Advise(ctx context.Context, step string, workers []string) ([]Ticket, time.Duration, error)
}
