package sched

import "bramleyrock/core/queue"

// Ticket identifies a submitted request.
type Ticket struct {
	pool   string
	number queue.Ticket
}
