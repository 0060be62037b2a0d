// Package queue orders the waiting requests of one pool and decides which
// requests may wait.
//
// Urgent requests go before normal ones, and within a class the request with
// the earliest deadline goes first. The queue is bounded. A request is
// admitted only if its predicted wait and run end before its deadline, so
// that late work is refused at once, as not_run, instead of after waiting.
//
// The prediction multiplies the number of requests ahead by the mean interval
// between the ends of requests while others wait. That interval takes in that
// other entries use the same hosts. When nothing waits, it is what the run
// times let expect.
//
// # Usage
//
//	q := queue.New(queue.Settings{Pool: "tins"})
//	q.Adjust(slots, inFlight)
//	if err := q.Admit(now, r); err != nil {
//		return err
//	}
//	ticket := q.Push(now, r)
//	next, ticket, ok := q.Pop()
//	q.Observe(now, took)
package queue
