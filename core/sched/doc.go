// Package sched schedules the requests of one entry onto the hosts of its
// availability zone. It joins the queue of each pool with the placement on
// hosts: a request is admitted, waits, and is granted a host.
//
// # Usage
//
//	s := sched.New(sched.Settings{Place: place.Settings{Zone: "a", Random: random}})
//	s.Update(now, fleet)
//	ticket, err := s.Submit(now, r)
//	if err != nil {
//		return err // refused, not_run
//	}
//	grant, ok := s.Next(now, r.Pool())
//	history.Try(grant.Host().Name())
//	// Run the request on grant.Host() and then:
//	s.Finish(now, grant, took, err)
//	if err != nil {
//		history.Add(err)
//		if end := s.Retry(now, r, history, err); end != nil {
//			return end
//		}
//		ticket, err = s.Resume(now, r, history.Tried())
//	}
//
// A caller that gives up withdraws its ticket; if the ticket had been granted
// already, the grant must be finished all the same.
package sched
