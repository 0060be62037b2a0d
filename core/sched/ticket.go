package sched

import "bramleyrock/core/queue"

// Ticket names one submitted request.
type Ticket struct {
	pool   string
	number queue.Ticket
}
