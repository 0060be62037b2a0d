// Package place chooses hosts for the tasks of pools.
//
// A Placer knows only the hosts of its own availability zone, since an entry
// places tasks only in its zone. It counts the tasks that it has in flight on each
// host. By default it takes two of the pool's free hosts at random and chooses the
// one with the smaller share of its slots in use. The free hosts of a pool are kept
// in a list of their own, so the cost of a choice does not grow with the pool or the
// fleet.
//
// A host that is full, closed, leaving, ejected or in backoff is not in the free
// list. If a target refuses a task because tasks of other entries use its slots, it
// is in backoff for a short time.
//
// # Usage
//
//	p := place.New(place.Settings{Zone: "a", Random: random})
//	p.Update(now, fleet)
//	host, err := p.Choose(now, "tins", nil)
//	if err != nil {
//		return err // no host of the pool is free
//	}
//	answer, err := target.Run(ctx, host, task)
//	p.Done(now, host.Name(), took, err)
package place
