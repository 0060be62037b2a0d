// Package move decides the steps by which a host changes its pool.
//
// A move goes through the states wanted, draining, released, joining and done:
//
//   - A wanted move waits until its host may be closed.
//   - Draining: the host is closed in its old pool, so it gets no new work.
//   - Released: package drain has proved that no entry can act on the host any
//     more.
//   - Joining: the host is in the new pool, under a new generation.
//   - Done: the host is open in the new pool.
//
// A step that cannot be proved safe is not made. It reports what it waits for.
//
// # Usage
//
//	step := move.Next(now, fleet, record, view)
//	if step.Pending() {
//		_, err = changer.Change(ctx, now, step.Proposal(me, guard))
//	} else {
//		log.Info(step.WaitsFor())
//	}
//
// Each step is one change of the records of the host and the move, conditional on
// their versions. If two lease holders make the same step, the second one is
// refused.
package move
