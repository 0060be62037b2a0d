// Package queue implements admission and queueing for the requests of one pool.
//
// Urgent requests go before normal ones, and within a class the request with
// the earliest deadline goes first. The queue is bounded. A request is
// admitted only if its predicted wait and run end before its deadline, so that a
// request which would be late is refused at once, as not_run, instead of after
// waiting.
//
// The predicted wait is the number of requests ahead, plus one, times the mean
// interval between the ends of requests. While requests wait, that interval is
// measured, so it accounts for other entries that use the same hosts. When none
// waits, it is computed from the mean run time.
//
// # Usage
//
//	q := queue.New(queue.Settings{Pool: "tins"})
//	q.SetCapacity(slots, inFlight)
//	if err := q.Admit(now, r); err != nil {
//		return err
//	}
//	ticket := q.Push(now, r)
//	next, ticket, ok := q.Pop()
//	q.ObserveRun(now, took)
package queue
