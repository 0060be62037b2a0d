// Package lease decides which entry holds a duty. A duty is background work that
// at most one entry may do at a time.
//
// Each duty has a lease row in the platform's table, "lease/<duty>", with the
// holder, the epoch and the expiry. The epoch grows each time that the lease is
// acquired and stays the same when it is renewed. Clocks decide only when a lease
// may be taken over. Safety does not depend on them: [Lease.Guard] makes every
// write of the holder conditional on the lease row, so that the writes of a
// paused holder fail once another entry has taken over.
//
// # Usage
//
//	row, err := readRow(ctx, lease.Key("mover"))
//	...
//	l, err := lease.Parse("mover", row)
//	next, action := terms.Next(now, self, l)
//	switch action {
//	case lease.Acquire, lease.Renew:
//		var t rock.Transaction
//		next.AddTo(&t, l)
//		err = table.Commit(ctx, t)
//	case lease.Hold:
//		proposal.Guard = l.Guard()
//	}
package lease
