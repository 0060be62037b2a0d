package cell_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// chunkRow identifies a stored row of progress.
type chunkRow struct {
	job   string
	chunk int
}

// rowTable holds the rows of progress and the outcomes that were stored.
type rowTable struct {
	progress map[chunkRow]works.Progress
	outcomes map[string]works.State
	seq      uint64
}

func newRowTable() *rowTable {
	return &rowTable{progress: map[chunkRow]works.Progress{}, outcomes: map[string]works.State{}}
}

// store stores a batch, and checks that a transaction can hold it.
func (d *rowTable) store(t *testing.T, b *harness) *cell.Batch {
	t.Helper()
	batch := b.Flush(b.now)
	d.seq++
	rows, bytes := 0, 0
	for _, w := range batch.JobWrites {
		rows += 1 + len(w.ProgressChunks)
		if w.Ended {
			d.outcomes[w.ID] = w.Outcome.State
			for _, chunk := range w.ProgressChunks {
				delete(d.progress, chunkRow{w.ID, chunk})
			}
			continue
		}
		w.Progress.Stamp = works.Stamp{Fence: fence, Seq: d.seq}
		assert.Assert(t, len(w.Progress.Tasks) <= works.ChunkTasks)
		data, reduced, err := works.EncodeProgress(w.Progress, 48<<10)
		assert.NilError(t, err)
		assert.Assert(t, !reduced)
		bytes += (len(data) + 2) / 3 * 4
		d.progress[chunkRow{w.ID, w.Chunk}] = w.Progress
	}
	assert.Assert(t, rows <= 72, "%d rows", rows) // the limit is 100, with conditions and rows of workers
	for k := range d.progress {
		_, ok := d.progress[chunkRow{k.job, 0}]
		_, ended := d.outcomes[k.job]
		assert.Assert(t, ok || ended, "callers do not see that job %s has started", k.job)
	}
	assert.Assert(t, bytes <= 900_000, "%d bytes", bytes)
	b.Flushed(b.now, batch)
	return batch
}

// rowsOf returns the stored progress of a job.
func (d *rowTable) rowsOf(job string) []works.Progress {
	var rows []works.Progress
	for k, p := range d.progress {
		if k.job == job {
			rows = append(rows, p)
		}
	}
	return rows
}

// runTasks starts tasks and ends them as done until limit tasks are done, and returns the
// names of those that are.
func (d *rowTable) runTasks(t *testing.T, b *harness, limit int) map[string]bool {
	t.Helper()
	done := map[string]bool{}
	for round := 0; len(done) < limit; round++ {
		assert.Assert(t, round < 1000, "%d tasks are done", len(done))
		b.Decide(b.now)
		d.store(t, b)
		ends := map[string][]rock.End{}
		for _, o := range b.Decide(b.now) {
			if o.Kind != cell.OrderStart {
				continue
			}
			b.HandleReply(b.now, o, rock.Reply{}, nil)
			ends[o.Worker.ID] = append(ends[o.Worker.ID], end(o, rock.EndDone))
			done[o.Start.Task] = true
		}
		for id, list := range ends {
			b.report(id, nil, list)
		}
		b.advance(60 * time.Millisecond)
	}
	d.store(t, b)
	return done
}

// TestLargeJobIsStoredInRowsOfBoundedSize guards against a job whose progress outgrows a row of
// the table, which then refuses all writes of the cell's owner. The next owner must know
// from the rows what is done.
func TestLargeJobIsStoredInRowsOfBoundedSize(t *testing.T) {
	tasks := 9*works.ChunkTasks + 7
	b, d := newHarness(t, 20, nil), newRowTable()
	large := job("large", step(tasks/2), step(tasks-tasks/2))
	b.AddJob(b.now, large, 9)
	done := d.runTasks(t, b, tasks/2)
	stored := map[string]bool{}
	for _, p := range d.rowsOf("large") {
		for _, tp := range p.Tasks {
			if tp.Done {
				stored[works.TaskName{Job: "large", Step: tp.Step, Index: tp.Index}.String()] = true
			}
		}
	}
	assert.DeepEqual(t, stored, done)

	next := newHarness(t, 20, nil)
	next.AddJob(next.now, large, 9)
	next.AddProgress(next.now, "large", d.rowsOf("large")...)
	again := d.runTasks(t, next, tasks-len(done))
	for task := range again {
		assert.Assert(t, !done[task], "%s is run again", task)
	}
	for range 20 {
		d.store(t, next)
	}
	assert.Equal(t, d.outcomes["large"], works.Completed)
}

// TestManyLargeJobsEndInSeveralBatches guards against a transaction with more rows than the table
// takes, because many jobs with several rows of progress end at once.
func TestManyLargeJobsEndInSeveralBatches(t *testing.T) {
	for chunks := range 24 {
		b, d := newHarness(t, 2, nil), newRowTable()
		const jobs = 90
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			tasks := max(1, chunks*works.ChunkTasks)
			row := works.Progress{Started: true}
			for k := range tasks {
				row.Tasks = append(row.Tasks, works.TaskProgress{Index: k, Done: k > 0, Failed: []int64{1}, Run: 5})
			}
			b.AddJob(b.now, job(id, step(min(tasks, works.MaxTasks))), 9)
			b.AddProgress(b.now, id, row)
			b.Cancel(b.now, id)
		}
		for range 2 * jobs {
			d.store(t, b)
		}
		assert.Equal(t, len(d.outcomes), jobs, "%d chunks", chunks)
	}
}

// TestChangeIsWrittenWithoutTheWholeProgress guards against writes that grow with the number of
// tasks that are done.
func TestChangeIsWrittenWithoutTheWholeProgress(t *testing.T) {
	b, d := newHarness(t, 20, nil), newRowTable()
	b.AddJob(b.now, job("large", step(4*works.ChunkTasks)), 9)
	d.runTasks(t, b, 3*works.ChunkTasks)
	b.Decide(b.now)
	batch := d.store(t, b)
	assert.Assert(t, len(batch.JobWrites) >= 1 && len(batch.JobWrites) <= 2, "%d rows are written", len(batch.JobWrites))
}

// TestRowOfAnOlderProgramIsSplit guards against progress that is lost because a program that
// stored all tasks of a job in one row left it. The row is that of the first chunk now.
func TestRowOfAnOlderProgramIsSplit(t *testing.T) {
	const tasks = 75 * works.ChunkTasks // more rows than a batch holds
	steps := []works.Step{}
	for range 5 {
		steps = append(steps, step(tasks/5))
	}
	old := works.Progress{Started: true, Stamp: works.Stamp{Fence: 1, Seq: 1}}
	for i := range tasks - 1 {
		old.Tasks = append(old.Tasks, works.TaskProgress{Step: i / (tasks / 5), Index: i % (tasks / 5), Done: true, Run: 5})
	}
	for lost := range 3 { // the owner is lost after that many batches
		t.Run(fmt.Sprint(lost, " batches"), func(t *testing.T) {
			b, d := newHarness(t, 2, nil), newRowTable()
			d.progress[chunkRow{"large", 0}] = old
			b.AddJob(b.now, job("large", steps...), 9)
			b.AddProgress(b.now, "large", d.rowsOf("large")...)
			for range lost {
				d.store(t, b)
			}
			next := newHarness(t, 2, nil)
			next.AddJob(next.now, job("large", steps...), 9)
			next.AddProgress(next.now, "large", d.rowsOf("large")...)
			started := d.runTasks(t, next, 1)
			assert.DeepEqual(t, started, map[string]bool{works.TaskName{Job: "large", Step: 4, Index: tasks/5 - 1}.String(): true})
		})
	}
}

// TestGangOverSeveralRowsEndsOnce guards against a gang that runs again, or gets more attempts,
// because the owner was lost when only some of its rows were stored. One end stands for all.
func TestGangOverSeveralRowsEndsOnce(t *testing.T) {
	const tasks = 2 * works.ChunkTasks
	gang := step(tasks)
	gang.Gang = true
	cases := map[string]struct {
		stored works.TaskProgress
		state  works.State
		starts int
	}{
		"done":   {works.TaskProgress{Done: true, Run: 5}, works.Completed, 0},
		"failed": {works.TaskProgress{Failed: []int64{5}, Run: 5}, works.Failed, tasks},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var row works.Progress
			for i := range works.ChunkTasks {
				c.stored.Index = i
				row.Tasks = append(row.Tasks, c.stored)
			}
			b, d := newHarness(t, tasks, nil), newRowTable()
			d.progress[chunkRow{"gang", 0}] = row
			b.AddJob(b.now, job("gang", gang), 9)
			b.AddProgress(b.now, "gang", row)
			var starts []cell.Order
			for range 10 {
				b.Decide(b.now)
				d.store(t, b)
				for _, o := range b.Decide(b.now) {
					if o.Kind == cell.OrderStart {
						b.HandleReply(b.now, o, rock.Reply{}, nil)
						starts = append(starts, o)
					}
				}
				b.advance(60 * time.Millisecond)
			}
			assert.Equal(t, len(starts), c.starts)
			if c.starts > 0 { // the member whose failure was not stored fails again
				o := starts[len(starts)-1]
				b.report(o.Worker.ID, nil, []rock.End{end(o, rock.EndFailed)})
				d.store(t, b)
			}
			assert.Equal(t, d.outcomes["gang"], c.state)
		})
	}
}
