// Package trail decides in which pools the jobs of a queue may be.
//
// The operator may send a queue to another pool at any time. Its accepted jobs stay in
// the pool to which the queue was sent when they were accepted, and the newest
// configuration does not tell which one that was. The platform's table therefore keeps
// a [Record] of each queue, which lists all pools that may have jobs of it. An entry
// accepts a job of a queue in a pool only if the queue's record lists the pool. If the
// record lists other pools, the entry makes sure first that none of them has the job.
//
// A record also holds the last configuration of the queue, which its accepted jobs need once
// the queue is no longer configured.
//
// # Copies
//
// A part of the table can be unavailable by itself, so each record is kept in
// [CopyCount] parts. A pool may be used once all copies list it. A copy that is marked
// as settled proves that for the pools that it lists, so that one readable copy is
// enough for an entry that has just started.
//
// # Entries with different configurations
//
// A record holds the version of the configuration that it reflects. An entry with an
// older configuration adds no pool to it: entries with the newer one have seen which
// pools the record lists, and would not look for jobs in another. Every change of a
// copy is written on condition of the version that was read.
//
// # Usage
//
//	t := trail.New()
//	t.ObserveCopy(copy) // after its rows were observed
//	t.Observe(copy, record, version)
//	for copy := range trail.CopyCount {
//		for _, c := range t.Changes(copy, queues, config) {
//			// Write c.Record on condition of c.Version, and observe the outcome.
//		}
//	}
//	if t.Settled(queue, pool) {
//		// Jobs may be accepted in the pool. Others may be in t.Others(queue, pool).
//	}
package trail
