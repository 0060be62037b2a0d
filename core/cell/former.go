package cell

import (
	"time"

	rock "bramleyrock"
)

// WorkerRow is what is to be written about a worker that the cell orders.
type WorkerRow struct {
	ID string
	// LeaseEnd is when the last lease of a worker that does not answer has
	// passed for certain. It is zero for a worker that answers: its lease is
	// extended all the time.
	LeaseEnd time.Time
}

// boundDelay is how long a worker must be silent before the end of its lease
// is stored, so that a single lost answer needs no write.
const boundDelay = 300 * time.Millisecond

// addFormer adds a worker to which a former owner may have given orders. The
// zero time means that the end of its lease is not known.
func (c *Cell) addFormer(id string, until time.Time) {
	w := c.newWorker(id)
	w.recorded, w.boundStored = true, !until.IsZero()
	w.formerUntil = until
	if until.IsZero() {
		w.formerUntil = c.settings.FormerLeasesEndAt
	}
}

// expectRun notes that a former owner may have started the task's last run on
// a worker. The worker's first answer tells whether it runs: orders that are
// still under way to it carry an older fence and have no effect after that.
func (c *Cell) expectRun(now time.Time, t *task, id string) {
	w := c.workers[id]
	if w == nil || w.gone {
		return // its row is gone, so its lease has passed, or its life is over
	}
	if r := w.runs[runKey{t.key, t.lastRun}]; r != nil {
		w.remove(r) // listed before the job was known
	}
	r := &run{
		key: t.key, number: t.lastRun, task: t, worker: w, room: t.step.Reservation(), state: starting, stored: true,
		orderedAt: now, answeredAt: now.Add(-time.Nanosecond),
	}
	t.current = r
	w.add(r)
}

// PrepareRelease makes the next batch hold the ends of the leases of all workers that
// do not answer, because the owner leaves.
func (c *Cell) PrepareRelease(now time.Time) {
	c.leaving = true
	c.touch(now, true)
}

// wantsRow returns the row that is to be written about a worker.
func (c *Cell) wantsRow(now time.Time, w *worker) (WorkerRow, bool) {
	r := WorkerRow{ID: w.id()}
	switch {
	case w.copies:
		if w.boundStored {
			r.LeaseEnd = w.lapsesAt()
		}
		return r, true
	case !w.recorded:
		return r, w.State == rock.WorkerReady
	case w.boundStored:
		return r, w.fenced && !w.silent
	case w.gone:
		return r, false
	case !w.fenced:
		r.LeaseEnd = w.formerUntil
		return r, !r.LeaseEnd.IsZero()
	case w.silent && (c.leaving || now.Sub(w.answeredAt) > quietLimit+boundDelay):
		r.LeaseEnd = w.lapsesAt()
		return r, true
	}
	return r, false
}

// checkRows notes that rows of workers are to be written.
func (c *Cell) checkRows(now time.Time) {
	for _, w := range c.workers {
		if _, ok := c.wantsRow(now, w); ok {
			c.touch(now, true)
			return
		}
	}
}

// maxWorkerWrites bounds the rows of workers in a batch.
const maxWorkerWrites = 20

// flushWorkers adds the rows of workers to the batch.
func (c *Cell) flushWorkers(now time.Time, b *Batch) {
	n := min(len(c.dropped), maxWorkerWrites)
	b.DeletedWorkers = c.dropped[:n:n]
	c.dropped = c.dropped[n:]
	b.more = b.more || len(c.dropped) > 0
	for _, w := range c.workers {
		r, ok := c.wantsRow(now, w)
		if !ok {
			continue
		}
		if len(b.Workers)+len(b.DeletedWorkers) >= maxWorkerWrites {
			b.more = true
			return
		}
		b.Workers = append(b.Workers, r)
		if w.copies {
			w.copies = false
			b.copied = append(b.copied, w)
		}
		if !r.LeaseEnd.IsZero() {
			w.boundStored = true // the write may take effect at any time from now on
		}
	}
}

// RewriteAll makes the next batches hold all that is stored, because it is to be stored
// elsewhere. The first batch for which [Batch.Complete] is true is the last of them.
func (c *Cell) RewriteAll(now time.Time) {
	for _, j := range c.jobs {
		j.dirty = j.dirty || j.stored
	}
	for _, w := range c.workers {
		w.copies = w.recorded
	}
	c.touch(now, true)
}

// flushedWorkers notes that the rows of workers are stored.
func (c *Cell) flushedWorkers(b *Batch) {
	for _, r := range b.Workers {
		if w := c.workers[r.ID]; w != nil {
			w.recorded, w.boundStored = true, !r.LeaseEnd.IsZero()
		}
	}
}
