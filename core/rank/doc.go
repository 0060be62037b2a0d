// Package rank orders the jobs that wait for room.
//
// The load it answers: a queue whose demand rises to several times what its
// pool holds for some seconds and falls to almost nothing after. While it
// lasts, not all jobs can be completed within their objective, so those that
// still can go first, and the others are completed in the calm that follows.
// Of those, jobs that have begun go before new ones. If the new ones are more
// than can all be completed in time, they are only begun with some time to
// spare: the order of deadlines alone then begins every job and completes hardly
// any in time. Late jobs that are about to become useless go first in a few
// turns, so that a surge starves few of them.
//
// # Usage
//
//	var l rank.Load
//	for _, w := range works {
//		l.Add(now, w)
//	}
//	r := rank.Of(now, works[0], rank.Turn{Margin: l.Margin(cores)})
//	if r.Compare(other) < 0 {
//		// r goes first.
//	}
package rank
