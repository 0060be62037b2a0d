package sched

import (
	"bramleyrock/core/queue"
	"bramleyrock/core/retry"
)

// poolState is the waiting and running requests of one pool.
type poolState struct {
	queue  *queue.Queue
	budget retry.Budget
	// avoidHosts lists the hosts that were tried before, by ticket.
	avoidHosts map[queue.Ticket][]string
	inFlight   int
}
