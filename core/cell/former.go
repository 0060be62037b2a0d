package cell

import "time"

// former is a worker to which a former owner may have given orders.
type former struct {
	// until is when the last lease that it was given has passed for certain.
	until time.Time
	// stored is true if that time is in the worker's row.
	stored bool
}

// WorkerRow is what is to be written about a worker that the cell orders.
type WorkerRow struct {
	ID string
	// Until is when the last lease of a worker that does not answer has
	// passed for certain. It is zero for a worker that answers: its lease is
	// extended all the time.
	Until time.Time
}

// boundDelay is how long a worker must be silent before the end of its lease
// is stored, so that a single lost answer needs no write.
const boundDelay = 300 * time.Millisecond

// Leave makes the next batch hold the ends of the leases of all workers that
// do not answer, because the owner leaves.
func (c *Cell) Leave(now time.Time) {
	c.leaving = true
	c.touch(now, true)
}

// settle reports whether all that a former owner started is accounted for:
// each of its workers has answered, or its last lease has passed.
func (c *Cell) settle(now time.Time) bool {
	if c.settled {
		return true
	}
	for id, f := range c.former {
		w := c.workers[id]
		if (w == nil || !w.fenced && !w.gone) && !now.After(f.until) {
			return false
		}
	}
	c.settled = true
	if len(c.former) > 0 {
		c.notes = append(c.notes, Note{What: "takeover settled", Detail: "all former workers answered, or their leases have passed"})
	}
	return true
}

// wantsRow returns the row that is to be written about a worker.
func (c *Cell) wantsRow(now time.Time, w *worker) (WorkerRow, bool) {
	r := WorkerRow{ID: w.id()}
	switch {
	case !w.recorded:
		return r, true
	case w.boundStored:
		return r, w.fenced && !w.silent
	case w.gone:
		return r, false
	case !w.fenced:
		f := c.former[r.ID]
		if f == nil {
			return r, false
		}
		r.Until = f.until
		return r, true
	case w.silent && (c.leaving || now.Sub(w.answeredAt) > quietLimit+boundDelay):
		r.Until = w.lapsesAt()
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
	for id, f := range c.former {
		if c.workers[id] == nil && (!f.stored || now.After(f.until)) {
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
	b.OldWorkers = c.dropped[:n:n]
	c.dropped = c.dropped[n:]
	b.more = b.more || len(c.dropped) > 0
	room := func() bool {
		ok := len(b.Workers)+len(b.OldWorkers) < maxWorkerWrites
		b.more = b.more || !ok
		return ok
	}
	for _, w := range c.workers {
		if r, ok := c.wantsRow(now, w); ok && room() {
			b.Workers = append(b.Workers, r)
		}
	}
	for id, f := range c.former {
		switch {
		case c.workers[id] != nil:
		case now.After(f.until) && c.settled:
			if room() {
				b.OldWorkers = append(b.OldWorkers, id)
			}
		case !f.stored && room():
			b.Workers = append(b.Workers, WorkerRow{id, f.until})
		}
	}
}

// flushedWorkers notes that the rows of workers are stored.
func (c *Cell) flushedWorkers(b *Batch) {
	for _, r := range b.Workers {
		if f := c.former[r.ID]; f != nil {
			f.stored = true
		}
		if w := c.workers[r.ID]; w != nil {
			w.recorded, w.boundStored = true, !r.Until.IsZero()
		}
	}
	for _, id := range b.OldWorkers {
		if c.workers[id] == nil {
			delete(c.former, id)
		}
	}
}
