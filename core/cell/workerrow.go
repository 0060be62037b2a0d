package cell

import (
	"time"

	rock "bramleyrock"
)

// WorkerRow is the stored state of a worker that the cell manages.
type WorkerRow struct {
	ID string
	// LeaseEnd is when the last lease of an unresponsive worker has certainly
	// expired. It is zero for a worker that answers, whose lease is being
	// extended.
	LeaseEnd time.Time
}

// leaseEndStoreDelay is how long after maxReportAge the end of an unresponsive
// worker's lease is stored. A single lost answer thus causes no write.
const leaseEndStoreDelay = 300 * time.Millisecond

// addFormerWorker adds a worker to which a former owner may have sent orders. A
// zero time means that the end of its lease is not stored.
func (c *Cell) addFormerWorker(id string, until time.Time) {
	w := c.newWorker(id)
	w.hasRow, w.leaseEndStored = true, !until.IsZero()
	w.formerLeaseEnd = until
	if until.IsZero() {
		w.formerLeaseEnd = c.settings.FormerLeasesEndAt
	}
}

// expectFormerRun records that a former owner may have started the task's last
// run on a worker. The worker's first answer tells whether it is running: after
// that answer the worker refuses delayed orders of the former owner, because
// their epoch is older.
func (c *Cell) expectFormerRun(now time.Time, t *task, id string) {
	w := c.workers[id]
	if w == nil || w.gone {
		return // its lease has expired, since its row was deleted, or it is gone
	}
	if r := w.runs[runKey{t.key, t.lastRun}]; r != nil {
		w.removeRun(r) // reported before the job was added
	}
	// answeredAt lies before now, so that a report requested now decides about the run.
	r := &run{
		key: t.key, number: t.lastRun, task: t, worker: w, resources: t.step.Reservation(), state: starting, placeStored: true,
		orderedAt: now, answeredAt: now.Add(-time.Nanosecond),
	}
	t.current = r
	w.addRun(r)
}

// PrepareRelease makes the next batches hold the lease ends of all unresponsive
// workers, because the owner is about to release the cell.
func (c *Cell) PrepareRelease(now time.Time) {
	c.releasing = true
	c.markDirty(now, true)
}

// pendingRow returns the row to write for a worker, and false if there is none.
func (c *Cell) pendingRow(now time.Time, w *worker) (WorkerRow, bool) {
	r := WorkerRow{ID: w.id()}
	switch {
	case w.rewriteRow:
		if w.leaseEndStored {
			r.LeaseEnd = w.leaseExpiry()
		}
		return r, true
	case !w.hasRow:
		return r, w.State == rock.WorkerReady
	case w.leaseEndStored:
		return r, w.acceptedFence && !w.unresponsive
	case w.gone:
		return r, false
	case !w.acceptedFence:
		r.LeaseEnd = w.formerLeaseEnd
		return r, !r.LeaseEnd.IsZero()
	case w.unresponsive && (c.releasing || now.Sub(w.answeredAt) > maxReportAge+leaseEndStoreDelay):
		r.LeaseEnd = w.leaseExpiry()
		return r, true
	}
	return r, false
}

// markPendingRows marks the cell as dirty if rows of workers are to be written.
func (c *Cell) markPendingRows(now time.Time) {
	for _, w := range c.workers {
		if _, ok := c.pendingRow(now, w); ok {
			c.markDirty(now, true)
			return
		}
	}
}

// maxWorkerWrites bounds the rows of workers in a batch.
const maxWorkerWrites = 20

// flushWorkers adds the pending rows of workers, and deletions of rows, to the
// batch.
func (c *Cell) flushWorkers(now time.Time, b *Batch) {
	n := min(len(c.deletedWorkers), maxWorkerWrites)
	b.DeletedWorkers = c.deletedWorkers[:n:n]
	c.deletedWorkers = c.deletedWorkers[n:]
	b.more = b.more || len(c.deletedWorkers) > 0
	for _, w := range c.workers {
		r, ok := c.pendingRow(now, w)
		if !ok {
			continue
		}
		if len(b.Workers)+len(b.DeletedWorkers) >= maxWorkerWrites {
			b.more = true
			return
		}
		b.Workers = append(b.Workers, r)
		if w.rewriteRow {
			w.rewriteRow = false
			b.rewritten = append(b.rewritten, w)
		}
		if !r.LeaseEnd.IsZero() {
			w.leaseEndStored = true // the write may take effect at any time from now
		}
	}
}

// RewriteAll makes the next batches hold the cell's whole stored state, because it
// is to be copied to another part of the platform's table. The first batch for
// which [Batch.Complete] is true ends the copy.
func (c *Cell) RewriteAll(now time.Time) {
	for _, j := range c.jobs {
		j.dirty.addAll(j.stored)
	}
	for _, w := range c.workers {
		w.rewriteRow = w.hasRow
	}
	c.markDirty(now, true)
}

// flushedWorkers records that the batch's rows of workers are stored.
func (c *Cell) flushedWorkers(b *Batch) {
	for _, r := range b.Workers {
		if w := c.workers[r.ID]; w != nil {
			w.hasRow, w.leaseEndStored = true, !r.LeaseEnd.IsZero()
		}
	}
}
