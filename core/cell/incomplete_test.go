package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// jobID is a job ID in the form that names of tasks require.
const jobID = "00000000000000aa"

// TestRunsOfJobsThatAreNotReadYet takes over a cell while the part of the table with
// one of its jobs cannot be read. A worker runs one task of the job and lists the end
// of another. The first must not be stopped, and the second must not run again once
// the job is read.
func TestRunsOfJobsThatAreNotReadYet(t *testing.T) {
	const run = 3 << 12 // of the former owner
	progress := works.Progress{Started: true, Tasks: []works.TaskProgress{
		{Index: 0, Run: run, Worker: "w0"}, {Index: 1, Run: run, Worker: "w0"},
	}}
	cases := map[string]struct {
		partial bool
		// stopped is true if the run is stopped before its job is added, and acked
		// is the last end that is acknowledged then.
		stopped bool
		acked   int64
	}{
		"jobs may be missing": {true, false, 0},
		"all jobs are known":  {false, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.SetJobsIncomplete(b.now, c.partial)
			running := []rock.Run{{Task: jobID + ".0.0.0", Run: run, Percent: 100}}
			b.report("w0", running, []rock.End{{Task: jobID + ".0.0.1", Run: run, Reason: rock.EndDone}})
			stopped := false
			for _, o := range b.Decide(b.now) {
				stopped = stopped || o.Kind == cell.OrderStop
			}
			assert.Equal(t, stopped, c.stopped)
			b.advance(time.Second)
			b.report("w0", running, nil)
			b.flush()
			assert.Equal(t, b.ackedUpTo("w0"), c.acked)
			if !c.partial {
				return
			}
			b.AddJob(b.now, job(jobID, step(2)), 5)
			b.AddProgress(b.now, jobID, progress)
			b.HandleDeferredEnds(b.now, jobID)
			b.SetJobsIncomplete(b.now, false)
			b.advance(100 * time.Millisecond)
			b.report("w0", running, nil)
			assert.Equal(t, len(b.startTasks()), 0)
			b.flush()
			assert.Equal(t, b.ackedUpTo("w0"), int64(1))
			b.advance(100 * time.Millisecond)
			b.report("w0", nil, []rock.End{{Task: jobID + ".0.0.0", Run: run, Reason: rock.EndDone}})
			b.flush()
			assert.Equal(t, b.outcomes[jobID], works.Completed)
		})
	}
}

// TestUnregisteredWorkerKeepsEndsOfUnreadJobs guards against a task that runs twice: a
// worker lists its end, and is not registered for a moment, before its job is read.
func TestUnregisteredWorkerKeepsEndsOfUnreadJobs(t *testing.T) {
	const run = 3 << 12 // of the former owner
	task := jobID + ".0.0.0"
	cases := map[string]struct {
		running []rock.Run
		ended   []rock.End
		state   works.State
	}{
		"the task is done":    {ended: []rock.End{{Task: task, Run: run, Reason: rock.EndDone}}, state: works.Completed},
		"the task goes on":    {running: []rock.Run{{Task: task, Run: run, Percent: 100}}},
		"nothing has run yet": {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2, nil)
			b.SetJobsIncomplete(b.now, true)
			b.report("w0", c.running, c.ended)
			b.SetWorkers(b.now, b.registered[1:])
			b.AddJob(b.now, job(jobID, step(1)), 5)
			if c.running != nil || c.ended != nil {
				b.AddProgress(b.now, jobID, works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: run, Worker: "w0"}}})
			}
			b.HandleDeferredEnds(b.now, jobID)
			b.SetJobsIncomplete(b.now, false)
			starts := b.startTasks()
			b.flush()
			assert.Equal(t, len(starts) > 0, c.running == nil && c.ended == nil)
			assert.Equal(t, b.outcomes[jobID], c.state)
		})
	}
}

// TestRunsOfUnknownJobsAreStoppedOnceAllIsRead guards against runs of ended jobs that
// go on forever: they must be stopped once all parts of the table are read.
func TestRunsOfUnknownJobsAreStoppedOnceAllIsRead(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.SetJobsIncomplete(b.now, true)
	b.report("w0", []rock.Run{{Task: jobID + ".0.0.0", Run: 5, Percent: 100}}, nil)
	assert.Equal(t, len(b.Decide(b.now)), 0)
	b.SetJobsIncomplete(b.now, false)
	orders := b.Decide(b.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, cell.OrderStop)
}

// TestRewriteAllHoldsAllState copies the state to another part of the table. The copy
// must be complete although the write of its first batch fails.
func TestRewriteAllHoldsAllState(t *testing.T) {
	b := newHarness(t, 30, nil)
	for _, id := range []string{"a", "b", "c"} {
		b.AddJob(b.now, job(id, step(2)), 9)
	}
	assert.Equal(t, len(b.startTasks()), 6)
	b.RewriteAll(b.now)
	b.FlushFailed(b.now, b.Flush(b.now))
	jobs, workers := map[string]bool{}, map[string]bool{}
	for last := false; !last; {
		batch := b.Flush(b.now)
		for _, w := range batch.JobWrites {
			jobs[w.ID] = true
			assert.Equal(t, len(w.Progress.Tasks), 2)
		}
		for _, w := range batch.Workers {
			workers[w.ID] = true
		}
		last = batch.Complete()
		b.Flushed(b.now, batch)
	}
	assert.Equal(t, len(jobs), 3)
	assert.Equal(t, len(workers), 30)
}

// TestProgressOnAWorkerThatIsGone guards against a task that is never started again:
// its job is read only after the worker of its run is gone.
func TestProgressOnAWorkerThatIsGone(t *testing.T) {
	const run = 3 << 12 // of the former owner
	b := newHarness(t, 2, nil)
	b.SetJobsIncomplete(b.now, true)
	b.MarkWorkerGone(b.now, "w0", "its host was taken down")
	b.AddJob(b.now, job(jobID, step(1)), 5)
	b.AddProgress(b.now, jobID, works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: run, Worker: "w0"}}})
	b.HandleDeferredEnds(b.now, jobID)
	b.SetJobsIncomplete(b.now, false)
	for range 100 {
		b.advance(100 * time.Millisecond)
		b.report("w1", nil, nil)
		if starts := b.startTasks(); len(starts) > 0 {
			assert.Equal(t, starts[0].Worker.ID, "w1")
			assert.Assert(t, starts[0].Start.Run > run)
			return
		}
	}
	t.Fatal("the task is not started again")
}

// TestDeferredEndsCountAsOccupancy guards against the loss of ends whose jobs are not
// read yet: their worker must not be taken down as if it were idle.
func TestDeferredEndsCountAsOccupancy(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.SetJobsIncomplete(b.now, true)
	b.report("w0", nil, []rock.End{{Task: jobID + ".0.0.1", Run: 5, Reason: rock.EndDone}})
	assert.Equal(t, b.Occupancy(b.now, "w0").Runs, 1)
	b.SetJobsIncomplete(b.now, false)
	assert.Equal(t, b.Occupancy(b.now, "w0").Runs, 0)
}
