// Package move decides the steps by which a host changes its pool.
//
// A move goes through the states wanted, draining, released, joining and
// done. Draining closes the host in its old pool. Released means that package
// drain has proved that nobody can act on the host any more. Joining puts the
// host into the new pool with a new generation, and done opens it. A step that
// cannot be proved safe waits, and says for what.
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
// Each step is one change of the host's and the move's record, on condition
// of their versions, so that a step repeated by a second holder is refused.
package move
