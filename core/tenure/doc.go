// Package tenure decides when an entry takes over a cell.
//
// The owner of a cell renews a row of the platform's table. A challenger takes
// the cell when it has not seen the row change for a while although the
// platform answered it all that time, and on condition that the row is still
// the one that it saw. An owner acts only for a shorter while after it sent
// its last successful renewal. Clocks are compared with themselves only, and
// must count the time for which a process is suspended.
//
// A cell has several homes, which are parts of the table that fail on their own.
// Each has an owner's row and a renewal. A renewal in any home that counts proves
// ownership, and a challenger needs all of them. The newest [Record] tells which
// count: a home that does not answer is left out, and joins again later.
//
// # Usage
//
// A challenger:
//
//	var c tenure.Claim
//	c.SawOwner(now, home, owner, ownerVersion)
//	c.SawBeat(now, home, record, beatVersion)
//	if c.Next(now, me, answeredSince, delay) == tenure.Take {
//		// Take all homes of c.Record(), each on condition of both versions.
//	}
//
// An owner:
//
//	l := tenure.NewLease(record, taken)
//	for _, home := range l.Due(now, urgent) {
//		record := l.Sent(now, home)
//		// Write it on condition of l.Versions(home), then call l.Stored, or l.Found
//		// with what the home's rows tell.
//	}
//	mayAct := now.Before(l.ActUntil())
package tenure
