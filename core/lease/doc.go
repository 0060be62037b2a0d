// Package lease decides who holds a duty that must have one holder.
//
// A duty has one row in the platform's table, "lease/<duty>", with the
// holder, the epoch and the expiry. The epoch grows each time that the duty is
// taken and stays the same when it is renewed. Clocks decide only when a duty
// may be taken over; that a paused holder does no harm rests on [Lease.Guard],
// which makes every write of the holder conditional on the lease row itself.
//
// # Usage
//
//	row, err := readRow(ctx, lease.Key("mover"))
//	...
//	l, err := lease.Parse("mover", row)
//	next, action := terms.Next(now, me, l)
//	switch action {
//	case lease.Take, lease.Renew:
//		var t rock.Transaction
//		next.Claim(&t, l)
//		err = table.Commit(ctx, t)
//	case lease.Hold:
//		proposal.Guard = l.Guard()
//	}
package lease
