package rock

import (
	"context"
	"time"
)

// Ticket is the permission to run a step on a worker.
type Ticket struct {
	Worker string
	Ticket string
}

// Adviser knows which workers may run a step of a queue that needs advice.
type Adviser interface {
	// Advise returns tickets for those of the workers that may run the step,
	// and how long they are valid.
	Advise(ctx context.Context, step string, workers []string) ([]Ticket, time.Duration, error)
}
