// Package rank orders the jobs that wait for capacity.
//
// It is built for a queue whose demand rises to several times the capacity of its
// pool for some seconds and then falls to almost nothing. During such a surge not
// all jobs can be completed within their objective. Jobs that still can go first,
// and the others are completed after the surge. Among jobs that still can, those
// that have started go before new ones.
//
// If not all new jobs can be completed on time, a new job is started only with a
// safety margin. Without one, earliest-deadline-first order starts every job and
// completes hardly any on time.
//
// In a few scheduling rounds, late jobs that are about to become useless go first,
// so that a surge starves few of them.
//
// # Usage
//
//	var l rank.Load
//	for _, j := range jobs {
//		l.Add(now, j)
//	}
//	r := rank.Of(now, jobs[0], rank.Params{Margin: l.Margin(cores)})
//	if r.Compare(other) < 0 {
//		// r goes first.
//	}
package rank
