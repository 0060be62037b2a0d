// Package cell decides which tasks the workers of a cell run, and when. A cell
// is a pool, or a share of one, whose jobs and workers are managed by one entry
// at a time, the owner of the cell.
//
// A [Cell] is a state machine without I/O or a clock of its own. The caller
// passes in jobs, cancellations, registered workers, their reports and their
// replies to orders. The cell returns the orders to send and the rows to write.
//
// # Leases and fencing
//
// A worker runs tasks only while it holds a lease, which ends at a time on the
// worker's own clock. The owner keeps renewing the lease. A renewal may wait at the
// worker until a run ends. The worker answers it with a report, which lists the
// running runs and the ends of runs. Ends are numbered from 1 in each incarnation
// of a worker (the time from one start of it to the next), and each end is listed
// until the owner acknowledges that it is stored.
//
// Every order carries the owner's epoch as a fencing token. A worker refuses
// orders whose epoch is older than one it has seen.
//
// # At most one run of a task
//
// A task is started again only after its previous run is proved to be over,
// which any of these proves:
//
//   - The worker reports that the run has ended.
//   - The worker acknowledges that it has stopped the run.
//   - A report that was requested after the run was confirmed does not list it.
//   - Another incarnation of the worker answers.
//   - The last lease sent to the worker has expired on the worker's clock.
//
// The worker of a run is stored before the start is ordered. The next owner of
// the cell therefore knows where each task may be running, and waits for the
// lease to expire only for tasks on workers that do not answer.
//
// # Usage
//
//	c := cell.New(cell.Settings{Pool: pool, Fence: fence, LeaseDuration: lease, ...})
//	c.AddJob(now, job, version)
//	c.SetWorkers(now, workers)
//	for _, o := range c.Decide(now, jobsKnownAt) {
//		// Send the order, then:
//		c.HandleReply(now, o, reply, err)
//	}
//	c.HandleReport(now, sent, workerID, report)
//	c.HandleUnanswered(now, sent, workerID, true, err)
//	batch := c.Flush(now)
//	// Write the batch's rows in one transaction, then:
//	c.Flushed(now, batch)
package cell
