package cell

import (
	"slices"
	"time"

	"bramleyrock/core/works"
)

// Write is what is to be written about one job.
type Write struct {
	ID string
	// Ended is true if the job's rows are replaced by its outcome.
	Ended   bool
	Outcome works.Outcome
	// Progress is written otherwise.
	Progress works.Progress
	// HasProgressRow and HadCancel tell which rows of the job exist.
	HasProgressRow bool
	HasCancelRow   bool
}

// Batch is a set of writes that belong in one transaction.
type Batch struct {
	JobWrites []Write
	// Workers holds the rows of workers to write, OldWorkers names those to
	// delete.
	Workers        []WorkerRow
	DeletedWorkers []string

	seen  map[string]int64
	ended []*job
	// placed holds the runs whose places the batch stores.
	placed []*run
	// copied holds the workers whose rows are written again as they are.
	copied []*worker
	more   bool
}

// Complete reports whether the batch holds all that there was to be written.
func (b *Batch) Complete() bool { return !b.more }

// endEntries is the number of rows that change when a job ends.
const endEntries = 2

// FlushDue reports whether there is something to write now.
func (c *Cell) FlushDue(now time.Time) bool {
	if len(c.placed) > 0 && now.Sub(c.dirtySince) >= placeDelay {
		return true
	}
	return !c.dirtySince.IsZero() && (c.urgent && now.Sub(c.dirtySince) >= urgentDelay || now.Sub(c.dirtySince) >= flushDelay)
}

// Flush returns what is to be written. Until [Cell.Flushed] or
// [Cell.FlushFailed] is called, it must not be called again.
func (c *Cell) Flush(now time.Time) *Batch {
	c.flushing = true
	b := &Batch{seen: map[string]int64{}}
	entries := 0
	for len(c.ended) > 0 && entries < maxEntries {
		entries += endEntries
		j := c.ended[0]
		c.ended = c.ended[1:]
		j.dirty = false
		b.ended = append(b.ended, j)
		b.JobWrites = append(b.JobWrites, Write{
			ID: j.ID, Ended: true, Outcome: works.Outcome{State: j.state, At: now},
			HasProgressRow: j.stored, HasCancelRow: j.cancel,
		})
	}
	b.more = len(c.ended) > 0
	write := func(j *job) {
		if !j.dirty || j.state.Ended() {
			return
		}
		if entries >= maxEntries {
			b.more = true
			return
		}
		entries++
		j.dirty, j.stored = false, true
		b.JobWrites = append(b.JobWrites, Write{ID: j.ID, Progress: j.progress()})
	}
	for _, r := range c.placed {
		if r.task != nil {
			write(r.task.step.job)
		}
	}
	for _, j := range c.jobs {
		write(j)
	}
	c.placed = slices.DeleteFunc(c.placed, func(r *run) bool {
		if r.task == nil || r.state != placed {
			return true
		}
		if !r.task.step.job.dirty {
			b.placed = append(b.placed, r)
			return true
		}
		return false
	})
	c.flushWorkers(now, b)
	if !b.more {
		for id, w := range c.workers {
			b.seen[id] = w.settled()
		}
		c.dirtySince, c.urgent = time.Time{}, false
	}
	return b
}

// Flushed notes that the batch is stored.
func (c *Cell) Flushed(now time.Time, b *Batch) {
	c.flushing = false
	for id, n := range b.seen {
		if w := c.workers[id]; w != nil && n <= w.settled() {
			w.stored = max(w.stored, n)
		}
	}
	c.flushedWorkers(b)
	for _, r := range b.placed {
		r.stored = true
	}
	for _, j := range b.ended {
		c.forget(j)
		c.RecordEnded(now, j.ID)
	}
}

// FlushFailed notes that the batch was not stored, as far as is known.
func (c *Cell) FlushFailed(now time.Time, b *Batch) {
	c.flushing = false
	c.ended = append(b.ended, c.ended...)
	for _, id := range b.DeletedWorkers {
		if c.workers[id] == nil { // it may have come back meanwhile
			c.dropped = append(c.dropped, id)
		}
	}
	c.placed = append(b.placed, c.placed...)
	for _, w := range b.copied {
		w.copies = true
	}
	for _, w := range b.JobWrites {
		if j := c.jobs[w.ID]; j != nil && !w.Ended {
			j.dirty = true
		}
	}
	c.touch(now, len(c.ended) > 0)
}

// forget drops an ended job. What it still runs is stopped without it.
func (c *Cell) forget(j *job) {
	delete(c.jobs, j.ID)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.current != nil {
				t.current.task = nil
			}
		}
	}
}
