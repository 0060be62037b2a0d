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

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const fence = 7

// harness is a cell with workers whose answers the test sets, and the rows that
// the cell has written.
type harness struct {
	*cell.Cell
	t          *testing.T
	now        time.Time
	endCount   map[string]int64
	registered []rock.Worker
	// outcomes and progress hold the stored rows of jobs, and rows all rows of
	// workers that were written.
	outcomes map[string]works.State
	progress map[string]works.Progress
	rows     []cell.WorkerRow
	// workerRows holds the IDs of the workers that have a stored row.
	workerRows map[string]bool
}

// Decide calls Decide of the cell with up-to-date jobs.
func (b *harness) Decide(now time.Time) []cell.Order { return b.Cell.Decide(now, now) }

func newHarness(t *testing.T, workers int, change func(*cell.Settings)) *harness {
	t.Helper()
	s := cell.Settings{Pool: "tins", Fence: fence, LeaseDuration: 4 * time.Second, MaxStopDuration: 400 * time.Millisecond, RemoteSlowdown: 3}
	if change != nil {
		change(&s)
	}
	b := &harness{Cell: cell.New(s), t: t, now: start, endCount: map[string]int64{}, outcomes: map[string]works.State{}, progress: map[string]works.Progress{}, workerRows: map[string]bool{}}
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond}})
	for i := range workers {
		b.registered = append(b.registered, rock.Worker{
			ID: fmt.Sprint("w", i), Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 4000, MemoryMB: 8000},
			Labels: []string{"a", "r1"}, StartedAt: start, ReadAt: start,
		})
	}
	b.SetWorkers(b.now, b.registered)
	for _, w := range b.registered {
		b.report(w.ID, nil, nil)
	}
	b.flush()
	return b
}

// clock returns the time on the workers' clocks.
func (b *harness) clock() time.Duration { return b.now.Sub(start) }

func (b *harness) advance(d time.Duration) { b.now = b.now.Add(d) }

// report passes in a worker's answer to a renewal that is sent now.
func (b *harness) report(id string, running []rock.Run, ended []rock.End) {
	b.reportSent(b.now, id, running, ended)
}

func (b *harness) reportSent(sent time.Time, id string, running []rock.Run, ended []rock.End) {
	for i := range ended {
		b.endCount[id]++
		ended[i].Number = b.endCount[id]
	}
	b.HandleReport(b.now, sent, id, rock.Report{Clock: b.clock(), WorkerStartedAt: start, Running: running, Ended: ended})
}

// flush stores the next batch.
func (b *harness) flush() {
	batch := b.Flush(b.now)
	for _, w := range batch.JobWrites {
		if w.Ended {
			b.outcomes[w.ID] = w.Outcome.State
		} else {
			b.progress[w.ID] = w.Progress
		}
	}
	b.rows = append(b.rows, batch.Workers...)
	for _, r := range batch.Workers {
		b.workerRows[r.ID] = true
	}
	for _, id := range batch.DeletedWorkers {
		delete(b.workerRows, id)
	}
	b.Flushed(b.now, batch)
}

// ackedUpTo returns the last end that the next renewal acknowledges as stored.
func (b *harness) ackedUpTo(id string) int64 {
	_, h, ok := b.HoldOrder(b.now, id, 0)
	assert.Assert(b.t, ok)
	return h.AckedUpTo
}

// startTasks places tasks, stores the placements, and accepts and returns the
// orders to start them.
func (b *harness) startTasks() []cell.Order {
	var starts []cell.Order
	orders := b.Decide(b.now)
	b.flush()
	for _, o := range append(orders, b.Decide(b.now)...) {
		if o.Kind == cell.OrderStart {
			starts = append(starts, o)
		}
		b.HandleReply(b.now, o, rock.Reply{Clock: b.clock()}, nil)
	}
	return starts
}

func job(id string, steps ...works.Step) works.Job {
	return works.Job{ID: id, Queue: "q", Accepted: start, Spec: works.Spec{Payload: "p", Steps: steps}}
}

func step(count int, after ...int) works.Step {
	return works.Step{Count: count, Need: rock.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second, DependsOn: after}
}

func end(o cell.Order, how rock.EndReason) rock.End {
	return rock.End{Task: o.Start.Task, Run: o.Start.Run, Reason: how}
}

func running(orders ...cell.Order) []rock.Run {
	var list []rock.Run
	for _, o := range orders {
		list = append(list, rock.Run{Task: o.Start.Task, Run: o.Start.Run, Percent: 100})
	}
	return list
}

// An end must not be acknowledged to the worker while the write of its effects
// is under way or has failed: the worker would drop it, and the next owner would
// run the task again.
func TestEndIsAcknowledgedOnlyAfterItsWrite(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("a", step(2)), 9)
	s := b.startTasks()
	assert.Equal(t, len(s), 2)
	b.advance(time.Second)
	b.report("w0", running(s[1]), []rock.End{end(s[0], rock.EndDone)})
	batch := b.Flush(b.now)
	// The write is under way when the worker lists the same end again.
	b.HandleReport(b.now, b.now, "w0", rock.Report{Clock: b.clock(), WorkerStartedAt: start, Running: running(s[1]), Ended: []rock.End{{Number: 1, Task: s[0].Start.Task, Run: s[0].Start.Run, Reason: rock.EndDone}}})
	assert.Equal(t, b.ackedUpTo("w0"), int64(0))
	b.FlushFailed(b.now, batch)
	b.report("w0", running(s[1]), nil)
	assert.Equal(t, b.ackedUpTo("w0"), int64(0))
	b.flush()
	assert.Equal(t, b.ackedUpTo("w0"), int64(1))
}

// A worker stops answering. Its task must be started once on another worker, with
// a greater run number, after the lease has expired.
func TestTaskRestartsAfterLeaseOfSilentWorkerExpires(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	first := b.startTasks()
	assert.Equal(t, len(first), 1)
	silent := first[0].Worker.ID
	var second []cell.Order
	for range 100 {
		b.advance(100 * time.Millisecond)
		for _, w := range b.registered {
			_, _, ok := b.HoldOrder(b.now, w.ID, 0)
			assert.Assert(t, ok)
			if w.ID == silent {
				b.HandleUnanswered(b.now, b.now, w.ID, true, fmt.Errorf("no answer"))
			} else {
				b.report(w.ID, running(second...), nil)
			}
		}
		second = append(second, b.startTasks()...)
	}
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Worker.ID != silent)
	assert.Assert(t, second[0].Start.Run > first[0].Start.Run)
}

// A worker that does not answer may still run its task until its lease expires.
// Before that, the task must not be started elsewhere.
func TestTaskOfSilentWorkerWaitsForItsLease(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	silent := b.startTasks()[0].Worker.ID
	b.HoldOrder(b.now, silent, 0)
	for b.now.Before(start.Add(4 * time.Second)) {
		b.HandleUnanswered(b.now, b.now, silent, true, fmt.Errorf("no answer"))
		for _, w := range b.registered {
			if w.ID != silent {
				b.report(w.ID, nil, nil)
			}
		}
		assert.Equal(t, len(b.startTasks()), 0, "at %v", b.now.Sub(start))
		b.advance(50 * time.Millisecond)
	}
}

// A listing of jobs that began before the write of an outcome arrives after it. The
// job must not run again.
func TestEndedJobIsNotAddedAgain(t *testing.T) {
	b := newHarness(t, 1, nil)
	j := job("a", step(1))
	b.AddJob(b.now, j, 9)
	s := b.startTasks()
	b.advance(time.Second)
	b.report("w0", nil, []rock.End{end(s[0], rock.EndDone)})
	b.advance(time.Second)
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Completed)
	// A listing that began before the write arrives after it.
	b.AddJob(b.now, j, 9)
	assert.Equal(t, len(b.startTasks()), 0)
}

// The process was suspended for longer than a lease, and then learns that an order
// from before had no answer. The run may have ended within its lease, so the task
// must not be started again before a newer order is unanswered.
func TestRunIsLostOnlyAfterUnansweredOrderPastItsLease(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	o := b.startTasks()[0]
	slow := o.Worker.ID
	sent := b.now
	b.advance(10 * time.Second) // the process was suspended, the order is old
	b.HandleUnanswered(b.now, sent, slow, true, fmt.Errorf("no answer"))
	for _, w := range b.registered {
		if w.ID != slow {
			b.report(w.ID, nil, nil)
		}
	}
	assert.Equal(t, len(b.startTasks()), 0, "the task may have ended and is started again")
	b.report(slow, nil, []rock.End{end(o, rock.EndDone)})
	assert.Equal(t, len(b.startTasks()), 0)
	b.advance(time.Second)
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Completed)
}

// A task fails on a worker that cannot be reached, and again on another one. When
// the first worker is back, its failure must count against the two attempts.
func TestFailureReportedLateCounts(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	first := b.startTasks()[0]
	b.advance(10 * time.Second)
	b.HandleUnanswered(b.now, b.now, first.Worker.ID, true, fmt.Errorf("no answer"))
	for _, w := range b.registered {
		if w.ID != first.Worker.ID {
			b.report(w.ID, nil, nil)
		}
	}
	second := b.startTasks()[0]
	b.advance(time.Second)
	b.report(second.Worker.ID, nil, []rock.End{end(second, rock.EndFailed)})
	// The first worker is back and reports that its run had failed as well.
	b.report(first.Worker.ID, nil, []rock.End{end(first, rock.EndFailed)})
	assert.Equal(t, len(b.startTasks()), 0, "a third attempt was started, two are allowed")
	b.advance(time.Second)
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Failed)
}

// The owner stores a failure but does not acknowledge it. The next owner gets the
// same end again and must not count it twice.
func TestFailureIsCountedOnce(t *testing.T) {
	b := newHarness(t, 2, nil)
	j := job("a", step(1))
	b.AddJob(b.now, j, 9)
	o := b.startTasks()[0]
	b.advance(time.Second)
	b.report(o.Worker.ID, nil, []rock.End{end(o, rock.EndFailed)})
	b.advance(time.Second)
	b.flush()
	// The worker reports the same end to the next owner, because it was not
	// acknowledged.
	next := newHarness(t, 2, func(s *cell.Settings) { s.Fence = fence + 1 })
	next.AddJob(next.now, j, 9)
	next.AddProgress(next.now, "a", b.progress["a"])
	next.report(o.Worker.ID, nil, []rock.End{end(o, rock.EndFailed)})
	assert.Equal(t, len(next.startTasks()), 1)
}

// takeover returns a harness whose cell had another owner, which stored the given
// lease ends of workers.
func takeover(t *testing.T, workers int, formerUntil map[string]time.Time) *harness {
	t.Helper()
	s := cell.Settings{
		Pool: "tins", Fence: fence, LeaseDuration: 4 * time.Second, MaxStopDuration: 400 * time.Millisecond,
		FormerLeasesEndAt: start.Add(5 * time.Second), FormerWorkers: formerUntil,
	}
	b := &harness{Cell: cell.New(s), t: t, now: start, endCount: map[string]int64{}, outcomes: map[string]works.State{}, progress: map[string]works.Progress{}, workerRows: map[string]bool{}}
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond}})
	for i := range workers {
		b.registered = append(b.registered, rock.Worker{
			ID: fmt.Sprint("w", i), Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 4000, MemoryMB: 8000}, StartedAt: start, ReadAt: start,
		})
	}
	b.SetWorkers(b.now, b.registered)
	return b
}

// After a takeover, one of two workers does not answer. Only a task that was placed
// on it may wait, until the lease has certainly expired. New jobs start at once.
func TestTakeoverWaitsOnlyForTasksOnSilentWorkers(t *testing.T) {
	cases := map[string]struct {
		former map[string]time.Time
		place  string
		want   time.Duration
	}{
		"the end of the lease is not known": {map[string]time.Time{"w0": {}, "w1": {}}, "w1", 5 * time.Second},
		"the end of the lease is stored":    {map[string]time.Time{"w0": {}, "w1": start.Add(2 * time.Second)}, "w1", 2 * time.Second},
		"the worker is not registered":      {map[string]time.Time{"w0": {}, "w9": start.Add(3 * time.Second)}, "w9", 3 * time.Second},
		"the task was on another worker":    {map[string]time.Time{"w0": {}, "w1": {}}, "w0", 0},
		"the task was on no worker":         {map[string]time.Time{"w0": {}, "w1": {}}, "", 0},
		"the worker's row is gone":          {map[string]time.Time{"w0": {}}, "w7", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := takeover(t, 2, c.former)
			b.AddJob(b.now, job("old", step(1)), fence-1)
			b.AddProgress(b.now, "old", works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: 5, Worker: c.place}}})
			b.AddJob(b.now, job("new", step(1)), fence+1)
			began := map[string]time.Duration{}
			var orders []cell.Order
			for b.now.Sub(start) < 6*time.Second {
				b.report("w0", running(orders...), nil)
				b.HandleUnanswered(b.now, b.now, "w1", true, fmt.Errorf("no answer"))
				b.flush()
				for _, o := range b.startTasks() {
					began[o.Job] = b.now.Sub(start)
					orders = append(orders, o)
				}
				b.advance(20 * time.Millisecond)
			}
			assert.Assert(t, began["new"] <= 40*time.Millisecond, "a new job started after %v", began["new"])
			assert.Assert(t, began["old"] >= c.want && began["old"] <= c.want+100*time.Millisecond, "the old job started after %v", began["old"])
		})
	}
}

// A run that a former owner started and that its worker lists must go on, and its
// end completes the job.
func TestRunOfFormerOwnerContinues(t *testing.T) {
	b := takeover(t, 1, map[string]time.Time{"w0": {}})
	b.AddJob(b.now, job("a", step(1)), fence-1)
	b.AddProgress(b.now, "a", works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: 5, Worker: "w0"}}})
	b.advance(time.Millisecond)
	b.report("w0", []rock.Run{{Task: "a.0.0.0", Run: 5}}, nil)
	assert.Equal(t, len(b.startTasks()), 0)
	b.advance(time.Second)
	b.report("w0", nil, []rock.End{{Task: "a.0.0.0", Run: 5, Reason: rock.EndDone}})
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Completed)
}

// A start that is sent before its placement is stored would be unknown to the next
// owner, which could run the task twice.
func TestStartIsOrderedOnlyAfterPlacementIsStored(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	assert.Equal(t, len(b.Decide(b.now)), 0)
	batch := b.Flush(b.now)
	assert.Equal(t, batch.JobWrites[0].Progress.Tasks[0].Worker, "w0")
	assert.Equal(t, len(b.Decide(b.now)), 0)
	b.FlushFailed(b.now, batch)
	assert.Equal(t, len(b.Decide(b.now)), 0)
	b.flush()
	assert.Equal(t, len(b.Decide(b.now)), 1)
}

// The next owner relies on a stored lease end, so the lease must not be extended
// before the row is written without it.
func TestLeaseIsNotExtendedWhileItsEndIsStored(t *testing.T) {
	b := takeover(t, 1, map[string]time.Time{"w0": start.Add(2 * time.Second)})
	lease := func() time.Duration {
		_, h, ok := b.HoldOrder(b.now, "w0", 0)
		assert.Assert(t, ok)
		return h.LeaseUntil
	}
	assert.Equal(t, lease(), time.Duration(0))
	b.report("w0", nil, nil)
	assert.Equal(t, lease(), time.Duration(0))
	b.Decide(b.now)
	b.flush()
	assert.DeepEqual(t, b.rows, []cell.WorkerRow{{ID: "w0"}})
	assert.Assert(t, lease() > 0)
}

// The lease end of a worker that has just stopped answering is not stored yet. It
// must be when the owner releases the cell, so that the next owner can use it.
func TestLeaseEndIsStoredWhenOwnerReleasesCell(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	silent := b.startTasks()[0].Worker.ID
	b.advance(100 * time.Millisecond)
	b.HandleUnanswered(b.now, b.now, silent, true, fmt.Errorf("no answer"))
	b.rows = nil
	b.flush()
	assert.Equal(t, len(b.rows), 0)
	b.PrepareRelease(b.now)
	b.flush()
	assert.Equal(t, len(b.rows), 1)
	assert.Equal(t, b.rows[0].ID, silent)
	until := b.rows[0].LeaseEnd
	assert.Assert(t, until.After(start.Add(4*time.Second)) && until.Before(start.Add(4200*time.Millisecond)), "%v", until.Sub(start))
}

// If the process itself ran late, it may have missed the answer of a worker. The
// worker's runs must not be lost although its lease has expired.
func TestDelayedProcessDoesNotLoseRuns(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	o := b.startTasks()[0]
	b.advance(10 * time.Second)
	b.HandleUnanswered(b.now, b.now, o.Worker.ID, false, fmt.Errorf("no answer in time"))
	for _, w := range b.registered {
		if w.ID != o.Worker.ID {
			b.report(w.ID, nil, nil)
		}
	}
	assert.Equal(t, len(b.startTasks()), 0)
}

func persistentStep(count, maxPerWorker int, milliCores int64) works.Step {
	return works.Step{Count: count, Need: rock.Resources{MilliCores: milliCores, MemoryMB: 100}, Persistent: true, MaxUnavailable: 1, MaxPerWorker: maxPerWorker}
}

// Small tasks take every core that becomes free, so that a large persistent task
// would never fit. The worker must be reserved for it.
func TestPersistentTaskIsNotStarvedBySmallTasks(t *testing.T) {
	b := newHarness(t, 1, nil)
	var busy []cell.Order
	// Small tasks take the whole worker, and more of them wait.
	for i := range 6 {
		b.AddJob(b.now, job(fmt.Sprint("small", i), step(4)), 9)
	}
	busy = b.startTasks()
	assert.Equal(t, len(busy), 4)
	b.AddJob(b.now, job("lasting", persistentStep(1, 0, 3000)), 9)
	for range 8 {
		b.advance(time.Second)
		b.report("w0", running(busy[1:]...), []rock.End{end(busy[0], rock.EndDone)})
		busy = append(busy[1:], b.startTasks()...)
		for _, o := range busy {
			if o.Job == "lasting" {
				return
			}
		}
	}
	t.Fatal("the persistent task was not started")
}

// TestPersistentTaskRunsAgainHoweverItEnds guards against a persistent job that counts as
// completed because a run of its task ended as done.
func TestPersistentTaskRunsAgainHoweverItEnds(t *testing.T) {
	t.Parallel()
	for _, how := range []rock.EndReason{rock.EndDone, rock.EndFailed, rock.EndStopped, rock.EndLeaseExpired} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			b := newHarness(t, 1, nil)
			b.AddJob(b.now, job("a", persistentStep(1, 0, 1000)), 9)
			s := b.startTasks()
			assert.Equal(t, len(s), 1)
			b.advance(time.Second)
			b.report("w0", nil, []rock.End{end(s[0], how)})
			b.flush()
			b.advance(time.Second)
			b.report("w0", nil, nil)
			assert.Equal(t, len(b.startTasks()), 1)
		})
	}
}

// A persistent task ends on a worker that is being drained, and no other worker may
// run it. It must be started there again rather than nowhere.
func TestPersistentTaskFallsBackToClosingWorker(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", persistentStep(2, 1, 1000)), 9)
	s := b.startTasks()
	assert.Equal(t, len(s), 2)
	b.SetClosing(map[string]bool{s[0].Worker.ID: true})
	b.advance(time.Second)
	b.report(s[1].Worker.ID, running(s[1]), nil)
	b.report(s[0].Worker.ID, nil, []rock.End{end(s[0], rock.EndFailed)})
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.report(s[0].Worker.ID, nil, nil)
		b.report(s[1].Worker.ID, running(s[1]), nil)
		if again := b.startTasks(); len(again) > 0 {
			assert.Equal(t, again[0].Worker.ID, s[0].Worker.ID, "the other worker may run only one of the step")
			return
		}
	}
	t.Fatal("the task was not started again")
}

// A worker answers while its lease end is being written. The lease must not be
// extended until a row without the lease end is stored, even if the first write is
// reported as failed, because it may still take effect.
func TestLeaseIsNotExtendedWhileItsEndIsBeingStored(t *testing.T) {
	cases := map[string]bool{"written": true, "failed": false}
	for name, written := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2, nil)
			b.AddJob(b.now, job("a", step(1)), 9)
			id := b.startTasks()[0].Worker.ID
			lease := func() time.Duration {
				_, h, ok := b.HoldOrder(b.now, id, 0)
				assert.Assert(t, ok)
				return h.LeaseUntil
			}
			b.advance(100 * time.Millisecond)
			b.HandleUnanswered(b.now, b.now, id, true, fmt.Errorf("no answer"))
			b.PrepareRelease(b.now)
			batch := b.Flush(b.now)
			assert.Equal(t, len(batch.Workers), 1)
			b.report(id, nil, nil)
			assert.Equal(t, lease(), time.Duration(0))
			if written {
				b.Flushed(b.now, batch)
			} else {
				b.FlushFailed(b.now, batch)
			}
			assert.Equal(t, lease(), time.Duration(0))
			b.flush()
			assert.Assert(t, lease() > 0)
		})
	}
}

// A task of a queue that requires tickets must run only on a worker with a ticket,
// and one query at a time is sent for a step.
func TestAdvisedStepRunsOnlyWithATicket(t *testing.T) {
	b := newHarness(t, 3, nil)
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, RequiresTicket: true}})
	b.AddJob(b.now, job("a", step(2)), 9)
	queries := b.Decide(b.now)
	assert.Equal(t, len(queries), 1)
	assert.Equal(t, queries[0].Kind, cell.OrderAdvise)
	assert.Equal(t, queries[0].Step, "a.0.0")
	assert.Equal(t, len(queries[0].Workers), 3)
	assert.Equal(t, len(b.Decide(b.now)), 0, "a second query was sent before the answer to the first")
	b.HandleAdvice(b.now, queries[0], []rock.Ticket{{Worker: "w1", Ticket: "t1"}}, 3*time.Second, nil)
	s := b.startTasks()
	assert.Equal(t, len(s), 2)
	for _, o := range s {
		assert.Equal(t, o.Worker.ID+o.Start.Ticket, "w1t1")
	}
}

// A worker refuses a ticket that the cell holds to be valid. The adviser must be
// asked again.
func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, RequiresTicket: true}})
	b.AddJob(b.now, job("a", step(1)), 9)
	b.HandleAdvice(b.now, b.Decide(b.now)[0], []rock.Ticket{{Worker: "w0", Ticket: "t1"}}, 3*time.Second, nil)
	b.Decide(b.now)
	b.flush()
	o := b.Decide(b.now)[0]
	b.HandleReply(b.now, o, rock.Reply{Refusal: rock.RefusedTicket, Clock: b.clock()}, nil)
	again := b.Decide(b.now)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Kind, cell.OrderAdvise)
}

// The tail latency of a serving task exceeds its target. The best-effort task on its
// worker must be slowed down, and sped up again once the latency is low.
func TestBestEffortTasksAreThrottledBesideServingTask(t *testing.T) {
	b := newHarness(t, 1, nil)
	serving := persistentStep(1, 0, 1000)
	serving.LatencyTarget = 100 * time.Millisecond
	fill := persistentStep(1, 0, 1000)
	fill.BestEffort = true
	b.AddJob(b.now, job("serving", serving), 9)
	b.AddJob(b.now, job("fill", fill), 9)
	s := b.startTasks()
	assert.Equal(t, len(s), 2)
	percent := 100
	tail := 150.0
	paced := func() {
		b.advance(700 * time.Millisecond)
		runs := running(s...)
		for i, o := range s {
			if o.Job == "serving" {
				runs[i].Metric = tail
			} else {
				runs[i].Percent = percent
			}
		}
		b.report("w0", runs, nil)
		for _, o := range b.Decide(b.now) {
			assert.Equal(t, o.Kind, cell.OrderPace)
			assert.Equal(t, o.Job, "fill")
			percent = o.Pace.Percent
			b.HandleReply(b.now, o, rock.Reply{}, nil)
		}
	}
	for range 5 {
		paced()
	}
	assert.Assert(t, percent < 5, "%d", percent)
	tail = 20
	for range 8 {
		paced()
	}
	assert.Equal(t, percent, 100)
}

// A worker may restart under its ID and number its ends from 1. After a broken
// connection, ends must not be acknowledged before the next report tells which
// incarnation answers: the new one would drop ends that were not handled.
func TestEndsAreNotAcknowledgedToNewIncarnation(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("a", step(2)), 9)
	s := b.startTasks()
	b.advance(time.Second)
	b.report("w0", running(s[1]), []rock.End{end(s[0], rock.EndDone)})
	b.flush()
	assert.Equal(t, b.ackedUpTo("w0"), int64(1))
	// The connection broke: the worker may have restarted.
	b.HandleUnanswered(b.now, b.now, "w0", true, fmt.Errorf("connection reset"))
	assert.Equal(t, b.ackedUpTo("w0"), int64(0))
	b.report("w0", running(s[1]), nil)
	assert.Equal(t, b.ackedUpTo("w0"), int64(1))
}

// A worker answers once after a takeover and then no more. The lease from the former
// owner is still in force and must expire before its task is started elsewhere.
func TestLeaseOfFormerOwnerCountsAfterTheFirstAnswer(t *testing.T) {
	b := takeover(t, 2, map[string]time.Time{"w0": {}, "w1": {}})
	b.AddJob(b.now, job("a", step(1)), fence-1)
	b.AddProgress(b.now, "a", works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: 5, Worker: "w1"}}})
	b.advance(time.Millisecond)
	b.report("w0", nil, nil)
	b.report("w1", []rock.Run{{Task: "a.0.0.0", Run: 5}}, nil)
	for b.now.Before(start.Add(4500 * time.Millisecond)) {
		b.HandleUnanswered(b.now, b.now, "w1", true, fmt.Errorf("no answer"))
		b.report("w0", nil, nil)
		assert.Equal(t, len(b.startTasks()), 0, "at %v", b.now.Sub(start))
		b.advance(100 * time.Millisecond)
	}
}

// TestNothingStartsWithOutdatedJobs guards against tasks of a cancelled job that are
// started because the cell has not received the cancellation yet. The known state of
// the jobs is too old, before a task is placed and after its placement is stored.
func TestNothingStartsWithOutdatedJobs(t *testing.T) {
	const old = 2600 * time.Millisecond
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("j", step(1)), fence+1)
	outdated := b.now.Add(-old)
	b.Cell.Decide(b.now, outdated)
	b.flush()
	assert.Equal(t, len(b.progress), 0, "the task was placed")
	b.Decide(b.now)
	b.flush()
	assert.Equal(t, len(b.Cell.Decide(b.now, outdated)), 0)
	b.Cancel(b.now, "j")
	assert.Equal(t, len(b.Decide(b.now)), 0, "a cancelled job's task was started")
}
