// Package cell decides what the workers of a cell run. A cell is a pool, or a
// share of one, whose jobs and workers one entry owns at a time.
//
// A Cell is a state machine: it is told of jobs, cancellations, workers, their
// reports and the answers to orders, and it returns the orders to give and the
// rows to write. It does no I/O and reads no clock.
//
// A task is started again only when its earlier run is proved to be over: the
// run's end is listed, a stop of it was acknowledged, a report that was asked
// for after its start lacks it, another life of the worker answers, or the
// last lease that was sent to the worker has passed on the worker's clock.
// The place of a run is stored before its start is ordered, so that the next
// owner of the cell knows where every task may be: only those on workers that
// do not answer wait for the end of a lease.
//
// # Usage
//
//	c := cell.New(cell.Settings{Pool: pool, Fence: fence, Hold: hold, ...})
//	c.AddJob(now, job, version)
//	c.SetWorkers(now, workers)
//	for _, o := range c.Decide(now) {
//		// Give the order, then:
//		c.Answered(now, o, reply, err)
//	}
//	c.Report(now, sent, workerID, report)
//	c.Silent(now, sent, workerID, true, err)
//	batch := c.Flush(now)
//	// Write the batch's rows in one transaction, then:
//	c.Flushed(now, batch)
package cell
