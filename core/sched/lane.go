package sched

import (
	"bramleyrock/core/queue"
	"bramleyrock/core/retry"
)

// lane is the waiting and running requests of one pool.
type lane struct {
	queue  *queue.Queue
	budget retry.Budget
	// avoid lists the hosts that were tried before, by ticket.
	avoid    map[queue.Ticket][]string
	inFlight int
}
