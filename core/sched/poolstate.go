package sched

import (
	"bramleyrock/core/queue"
	"bramleyrock/core/retry"
)

// poolState holds the queue, the retry budget and the number of running requests
// of one pool.
type poolState struct {
	queue  *queue.Queue
	budget retry.Budget
	// avoidHosts holds the hosts on which a waiting request was tried before, by
	// its ticket.
	avoidHosts map[queue.Ticket][]string
	inFlight   int
}
