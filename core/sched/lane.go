package sched

import "bramleyrock/core/queue"

// lane is the waiting and running requests of one pool.
type lane struct {
	queue *queue.Queue
	// avoid lists the hosts that were tried before, by ticket.
	avoid    map[queue.Ticket][]string
	inFlight int
}
