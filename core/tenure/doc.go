// Package tenure decides which entry owns a cell: when an entry may take over the
// cell, and for how long it may act as its owner.
//
// # Ownership
//
// The owner of a cell renews a row of the platform's table again and again. It may
// act until [LeaseDuration] after it sent its last successful renewal. A challenger,
// which is any other entry, may take over the cell when it has seen no renewal for
// [TakeoverTimeout], which is longer, although the platform answered its reads. Its own
// delay orders the challengers, and begins once the row can be read. The takeover is
// written on condition that the row has not changed since.
//
// Times are compared only with times of the same clock. That clock must also count
// the time for which the process is suspended.
//
// # Homes
//
// The rows of a cell are kept in several homes. A home is a part of the platform's
// table that fails independently of the others. It has an owner row, which names the
// owner, a renewal row, and possibly a copy of the cell's state. The owner writes
// state to one home, the main home.
//
// The newest [Record], which every renewal contains, lists the active homes. A
// renewal in any active home proves ownership, and a challenger must take over all of
// them. The owner excludes a home that does not answer, and later lets it join again.
//
// # Usage
//
// A challenger:
//
//	var c tenure.Challenger
//	c.ObserveOwner(now, home, owner, ownerVersion)
//	c.ObserveRenewal(now, home, record, renewalVersion)
//	c.ObserveRead(now, home) // for each of c.HomesToRead(now, me)
//	if c.NextAction(now, me, answeredSince, delay) == tenure.Acquire {
//		// Take over all homes of c.Record(), each on condition of both versions.
//	}
//
// An owner:
//
//	l := tenure.NewLease(record, acquired)
//	for _, home := range l.HomesToRenew(now, urgent) {
//		record := l.BeginWrite(now, home)
//		// Write it on condition of l.Versions(home). Then call l.CompleteWrite, or
//		// l.Reconcile with the contents of the home's rows.
//	}
//	mayAct := now.Before(l.ValidUntil())
package tenure
