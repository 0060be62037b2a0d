// Package rank orders the jobs that wait for room.
//
// The load it answers: a queue whose demand rises to several times what its
// pool holds for some seconds and falls to almost nothing after. While it
// lasts, not all jobs can be completed within their objective, so those that
// still can go first, and the others are completed in the calm that follows.
// Of those, jobs that have begun go before new ones, and new ones are only begun
// with some time to spare: the order of deadlines alone begins every job and
// completes hardly any in time.
//
// # Usage
//
//	r := rank.Of(now, rank.Work{Accepted: accepted, Left: left, ...})
//	if r.Compare(other) < 0 {
//		// r goes first.
//	}
package rank
