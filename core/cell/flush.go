package cell

import (
	"slices"
	"time"

	"bramleyrock/core/works"
)

// Write holds the rows to write for one job.
type Write struct {
	ID string
	// Ended is true if Outcome replaces the rows of the job. Otherwise Progress, the
	// progress of a chunk of the job's tasks, is written.
	Ended    bool
	Outcome  works.Outcome
	Chunk    int
	Progress works.Progress
	// ProgressChunks holds the chunks whose rows are to be deleted when the job has ended,
	// at most maxDeletedChunks of them. HasCancelRow reports whether the job has that row.
	ProgressChunks []int
	HasCancelRow   bool
}

// Batch holds the writes of one transaction.
type Batch struct {
	JobWrites []Write
	// Workers holds the rows of workers to write, and DeletedWorkers the IDs of
	// the workers whose rows are to be deleted.
	Workers        []WorkerRow
	DeletedWorkers []string

	resolvedEnds map[string]resolvedEnds
	endedJobs    []*job
	// placedRuns holds the runs whose workers the batch stores.
	placedRuns []*run
	// rewritten holds the workers whose rows are written again unchanged.
	rewritten []*worker
	more      bool
}

// resolvedEnds are the ends of an incarnation of a worker up to the last one whose effects
// a batch holds.
type resolvedEnds struct {
	incarnationStart time.Time
	last             int64
}

// Complete reports whether the batch holds all changes that were to be written.
func (b *Batch) Complete() bool { return !b.more }

// maxDeletedChunks bounds the rows of progress that are deleted in one batch when a job ends.
// The rows that are left are deleted together with the outcome.
const maxDeletedChunks = 16

// FlushDue reports whether a batch should be written now.
func (c *Cell) FlushDue(now time.Time) bool {
	if len(c.unstoredRuns) > 0 && now.Sub(c.dirtySince) >= placementFlushDelay {
		return true
	}
	return !c.dirtySince.IsZero() && (c.urgent && now.Sub(c.dirtySince) >= urgentFlushDelay || now.Sub(c.dirtySince) >= flushDelay)
}

// Flush returns the next batch to write. It must not be called again before
// [Cell.Flushed] or [Cell.FlushFailed] is called with the batch.
func (c *Cell) Flush(now time.Time) *Batch {
	c.flushing = true
	b := &Batch{resolvedEnds: map[string]resolvedEnds{}}
	rows := 0
	for len(c.endedJobs) > 0 {
		j := c.endedJobs[0]
		chunks := j.stored.list()
		chunks = chunks[:min(len(chunks), maxDeletedChunks)]
		if rows += 1 + len(chunks); rows > maxBatchRows {
			break
		}
		c.endedJobs = c.endedJobs[1:]
		j.dirty.clear()
		b.endedJobs = append(b.endedJobs, j)
		b.JobWrites = append(b.JobWrites, Write{
			ID: j.ID, Ended: true, Outcome: works.Outcome{State: j.state, At: now},
			ProgressChunks: chunks, HasCancelRow: j.hasCancelRow,
		})
	}
	b.more = len(c.endedJobs) > 0
	bytes := 0
	write := func(j *job) {
		if j.dirty.count() == 0 || j.state.Ended() {
			return
		}
		for _, chunk := range j.chunksToWrite() {
			if rows >= maxBatchRows || bytes >= maxBatchBytes {
				b.more = true
				return
			}
			p := j.progress(chunk)
			rows++
			bytes += p.MaxSize()
			j.dirty.remove(chunk)
			j.stored.add(chunk)
			b.JobWrites = append(b.JobWrites, Write{ID: j.ID, Chunk: chunk, Progress: p})
		}
	}
	for _, r := range c.unstoredRuns {
		if r.task != nil {
			write(r.task.step.job)
		}
	}
	for _, j := range c.jobs {
		write(j)
	}
	c.unstoredRuns = slices.DeleteFunc(c.unstoredRuns, func(r *run) bool {
		if r.task == nil || r.state != placed {
			return true
		}
		if !r.task.step.job.dirty.contains(r.task.chunk) {
			b.placedRuns = append(b.placedRuns, r)
			return true
		}
		return false
	})
	c.flushWorkers(now, b)
	if !b.more {
		for id, w := range c.workers {
			if last := w.resolvedEnd(); last > w.storedEnd {
				b.resolvedEnds[id] = resolvedEnds{w.incarnationStart, last}
			}
		}
		c.dirtySince, c.urgent = time.Time{}, false
	}
	return b
}

// Flushed records that the batch is stored.
func (c *Cell) Flushed(now time.Time, b *Batch) {
	c.flushing = false
	for id, e := range b.resolvedEnds {
		if w := c.workers[id]; w != nil && e.incarnationStart.Equal(w.incarnationStart) && e.last <= w.resolvedEnd() {
			w.storedEnd = max(w.storedEnd, e.last)
		}
	}
	c.flushedWorkers(b)
	for _, r := range b.placedRuns {
		r.placeStored = true
	}
	for _, j := range b.endedJobs {
		c.forgetJob(j)
		c.RecordEnded(now, j.ID)
	}
}

// FlushFailed records that the batch was not stored or that its outcome is
// unknown. Its changes will be written again.
func (c *Cell) FlushFailed(now time.Time, b *Batch) {
	c.flushing = false
	c.endedJobs = append(b.endedJobs, c.endedJobs...)
	for _, id := range b.DeletedWorkers {
		if c.workers[id] == nil { // it may have registered again meanwhile
			c.deletedWorkers = append(c.deletedWorkers, id)
		}
	}
	c.unstoredRuns = append(b.placedRuns, c.unstoredRuns...)
	for _, w := range b.rewritten {
		w.rewriteRow = true
	}
	for _, w := range b.JobWrites {
		if j := c.jobs[w.ID]; j != nil && !w.Ended {
			j.dirty.add(w.Chunk)
		}
	}
	c.markDirty(now, len(c.endedJobs) > 0)
}

// forgetJob removes an ended job. Its remaining runs are stopped without it.
func (c *Cell) forgetJob(j *job) {
	delete(c.jobs, j.ID)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.current != nil {
				t.current.task = nil
			}
		}
	}
}
