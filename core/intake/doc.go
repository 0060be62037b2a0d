// Package intake decides whether the owner of a pool can hold another job.
//
// An owner has the unfinished jobs of its pool in memory, and a new owner must be able to load
// what was accepted before. The memory of jobs is therefore bounded for each pool. A job that does
// not fit is rejected at once, and its caller is told when to come back.
//
// Every entry accepts jobs, and knows from the owner's renewals what the pool holds. A renewal
// is some time old, and other entries accept jobs meanwhile. An entry takes only
// a share of the room between two renewals, but always takes one job that fits.
//
// # Usage
//
//	var g intake.Gate
//	g.Observe(renewal.HeldBytes)
//	if retryAfter, ok := g.Admit(cell.Footprint(now, &spec), workLeft); !ok {
//		// reject the job
//	}
package intake
