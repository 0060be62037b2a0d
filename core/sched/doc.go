// Package sched schedules the requests of one entry onto the hosts of its
// availability zone. It combines admission, queueing, placement, retries and the
// quarantine of failing work: a request is admitted, waits in the queue of its
// pool, and is granted a host.
//
// # Usage
//
//	s := sched.New(sched.Settings{Place: place.Settings{Zone: "a", Random: random}})
//	s.Update(now, fleet)
//	ticket, err := s.Submit(now, r)
//	if err != nil {
//		return err // refused, not_run
//	}
//	grant, ok := s.GrantNext(now, r.Pool())
//	history.RecordHost(grant.Host().Name())
//	// Run the request on grant.Host() and then:
//	s.Finish(now, grant, took, err)
//	if err != nil {
//		history.RecordFailure(err)
//		if end := s.Retry(now, r, history, err); end != nil {
//			return end
//		}
//		ticket, err = s.Requeue(now, r, history.TriedHosts())
//	}
//
// A caller that stops waiting withdraws its ticket. If the ticket was granted
// already, the grant must be finished nevertheless.
package sched
