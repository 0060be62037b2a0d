// Package place chooses hosts for the work of pools.
//
// A Placer knows the hosts of its own availability zone only, since other
// zones' hosts are placed on by other zones' entries. It counts the tasks that
// it has in flight on each host, takes two of the pool's free hosts at random
// and chooses the one with the smaller share of its slots taken. The free
// hosts of a pool are kept in a list of their own, so the cost of a choice
// does not grow with the pool or the fleet.
//
// A host that is full, closed or held back is not in the free list. A target
// that refuses a task because its slots are taken, by tasks of other entries,
// is held back for a short time.
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
