// Package queue orders the waiting requests of one pool and decides which
// requests may wait.
//
// Urgent requests go before normal ones, and within a class the request with
// the earliest deadline goes first. The queue is bounded. A request is
// admitted only if its predicted wait and run end before its deadline, so
// that late work is refused at once, as not_run, instead of after waiting.
//
// The prediction divides the work ahead by the number of requests that ran at
// the same time while the queue was not empty, which takes in that other
// entries use the same hosts.
//
// # Usage
//
//	q := queue.New(queue.Settings{Pool: "tins"})
//	q.Adjust(slots, inFlight)
//	if err := q.Admit(now, r); err != nil {
//		return err
//	}
//	ticket := q.Push(r)
//	next, ticket, ok := q.Pop()
//	q.Observe(took)
package queue
