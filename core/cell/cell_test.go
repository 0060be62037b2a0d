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

// bench is a cell with workers that answer as the test says.
type bench struct {
	*cell.Cell
	t     *testing.T
	now   time.Time
	ends  map[string]int64
	known []rock.Worker
	// outcomes, progress and rows are what was written.
	outcomes map[string]works.State
	progress map[string]works.Progress
	rows     []cell.WorkerRow
	// stored holds the workers that have a row.
	stored map[string]bool
}

// Decide decides with all that is known of the jobs.
func (b *bench) Decide(now time.Time) []cell.Order { return b.Cell.Decide(now, now) }

func newBench(t *testing.T, workers int, change func(*cell.Settings)) *bench {
	t.Helper()
	s := cell.Settings{Pool: "tins", Fence: fence, LeaseDuration: 4 * time.Second, MaxStopDuration: 400 * time.Millisecond, RemoteSlowdown: 3}
	if change != nil {
		change(&s)
	}
	b := &bench{Cell: cell.New(s), t: t, now: start, ends: map[string]int64{}, outcomes: map[string]works.State{}, progress: map[string]works.Progress{}, stored: map[string]bool{}}
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond}})
	for i := range workers {
		b.known = append(b.known, rock.Worker{
			ID: fmt.Sprint("w", i), Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 4000, MemoryMB: 8000},
			Labels: []string{"a", "r1"}, StartedAt: start, ReadAt: start,
		})
	}
	b.SetWorkers(b.now, b.known)
	for _, w := range b.known {
		b.report(w.ID, nil, nil)
	}
	b.flush()
	return b
}

// clock returns the worker's clock.
func (b *bench) clock() time.Duration { return b.now.Sub(start) }

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// report lets a worker answer a hold order that is sent now.
func (b *bench) report(id string, running []rock.Run, ended []rock.End) {
	b.reportSent(b.now, id, running, ended)
}

func (b *bench) reportSent(sent time.Time, id string, running []rock.Run, ended []rock.End) {
	for i := range ended {
		b.ends[id]++
		ended[i].Number = b.ends[id]
	}
	b.HandleReport(b.now, sent, id, rock.Report{Clock: b.clock(), WorkerStartedAt: start, Running: running, Ended: ended})
}

// flush writes what is to be written.
func (b *bench) flush() {
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
		b.stored[r.ID] = true
	}
	for _, id := range batch.DeletedWorkers {
		delete(b.stored, id)
	}
	b.Flushed(b.now, batch)
}

// seen returns what a worker would be told to be stored.
func (b *bench) seen(id string) int64 {
	_, h, ok := b.HoldOrder(b.now, id, 0)
	assert.Assert(b.t, ok)
	return h.AckedUpTo
}

// started returns the orders to start, after their places were stored and they
// were answered.
func (b *bench) started() []cell.Order {
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

func TestEndIsToldAsStoredOnlyAfterItsWrite(t *testing.T) {
	b := newBench(t, 1, nil)
	b.AddJob(b.now, job("a", step(2)), 9)
	s := b.started()
	assert.Equal(t, len(s), 2)
	b.pass(time.Second)
	b.report("w0", running(s[1]), []rock.End{end(s[0], rock.EndDone)})
	batch := b.Flush(b.now)
	// The write is on its way when the worker lists the same end again.
	b.HandleReport(b.now, b.now, "w0", rock.Report{Clock: b.clock(), WorkerStartedAt: start, Running: running(s[1]), Ended: []rock.End{{Number: 1, Task: s[0].Start.Task, Run: s[0].Start.Run, Reason: rock.EndDone}}})
	assert.Equal(t, b.seen("w0"), int64(0))
	b.FlushFailed(b.now, batch)
	b.report("w0", running(s[1]), nil)
	assert.Equal(t, b.seen("w0"), int64(0))
	b.flush()
	assert.Equal(t, b.seen("w0"), int64(1))
}

func TestLeaseOfSilentWorkerPasses(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	first := b.started()
	assert.Equal(t, len(first), 1)
	dead := first[0].Worker.ID
	var second []cell.Order
	for range 100 {
		b.pass(100 * time.Millisecond)
		for _, w := range b.known {
			_, _, ok := b.HoldOrder(b.now, w.ID, 0)
			assert.Assert(t, ok)
			if w.ID == dead {
				b.HandleUnanswered(b.now, b.now, w.ID, true, fmt.Errorf("no answer"))
			} else {
				b.report(w.ID, running(second...), nil)
			}
		}
		second = append(second, b.started()...)
	}
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Worker.ID != dead)
	assert.Assert(t, second[0].Start.Run > first[0].Start.Run)
}

func TestTaskOfSilentWorkerWaitsForItsLease(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	dead := b.started()[0].Worker.ID
	b.HoldOrder(b.now, dead, 0)
	for b.now.Before(start.Add(4 * time.Second)) {
		b.HandleUnanswered(b.now, b.now, dead, true, fmt.Errorf("no answer"))
		for _, w := range b.known {
			if w.ID != dead {
				b.report(w.ID, nil, nil)
			}
		}
		assert.Equal(t, len(b.started()), 0, "at %v", b.now.Sub(start))
		b.pass(50 * time.Millisecond)
	}
}

func TestEndedJobIsNotTakenInAgain(t *testing.T) {
	b := newBench(t, 1, nil)
	j := job("a", step(1))
	b.AddJob(b.now, j, 9)
	s := b.started()
	b.pass(time.Second)
	b.report("w0", nil, []rock.End{end(s[0], rock.EndDone)})
	b.pass(time.Second)
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Completed)
	// A listing that began before the write arrives after it.
	b.AddJob(b.now, j, 9)
	assert.Equal(t, len(b.started()), 0)
}

func TestRunsAreLostOnlyAfterAQuestionThatFollowsTheLease(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	o := b.started()[0]
	slow := o.Worker.ID
	sent := b.now
	b.pass(10 * time.Second) // the entry was busy, the question is old
	b.HandleUnanswered(b.now, sent, slow, true, fmt.Errorf("no answer"))
	for _, w := range b.known {
		if w.ID != slow {
			b.report(w.ID, nil, nil)
		}
	}
	assert.Equal(t, len(b.started()), 0, "the task may have ended")
	b.report(slow, nil, []rock.End{end(o, rock.EndDone)})
	assert.Equal(t, len(b.started()), 0)
	b.pass(time.Second)
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Completed)
}

func TestFailureThatIsHeardLateCounts(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	first := b.started()[0]
	b.pass(10 * time.Second)
	b.HandleUnanswered(b.now, b.now, first.Worker.ID, true, fmt.Errorf("no answer"))
	for _, w := range b.known {
		if w.ID != first.Worker.ID {
			b.report(w.ID, nil, nil)
		}
	}
	second := b.started()[0]
	b.pass(time.Second)
	b.report(second.Worker.ID, nil, []rock.End{end(second, rock.EndFailed)})
	// The first worker is back and tells that its run had failed as well.
	b.report(first.Worker.ID, nil, []rock.End{end(first, rock.EndFailed)})
	assert.Equal(t, len(b.started()), 0, "two attempts are allowed")
	b.pass(time.Second)
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Failed)
}

func TestFailureIsCountedOnce(t *testing.T) {
	b := newBench(t, 2, nil)
	j := job("a", step(1))
	b.AddJob(b.now, j, 9)
	o := b.started()[0]
	b.pass(time.Second)
	b.report(o.Worker.ID, nil, []rock.End{end(o, rock.EndFailed)})
	b.pass(time.Second)
	b.flush()
	// The next owner hears of the same end, because the worker was not told
	// that it is stored.
	next := newBench(t, 2, func(s *cell.Settings) { s.Fence = fence + 1 })
	next.AddJob(next.now, j, 9)
	next.AddProgress(next.now, "a", b.progress["a"])
	next.report(o.Worker.ID, nil, []rock.End{end(o, rock.EndFailed)})
	assert.Equal(t, len(next.started()), 1)
}

// takeover returns a bench whose cell was owned before, with what the former
// owner stored about workers.
func takeover(t *testing.T, workers int, formerUntil map[string]time.Time) *bench {
	t.Helper()
	s := cell.Settings{
		Pool: "tins", Fence: fence, LeaseDuration: 4 * time.Second, MaxStopDuration: 400 * time.Millisecond,
		FormerLeasesEndAt: start.Add(5 * time.Second), FormerWorkers: formerUntil,
	}
	b := &bench{Cell: cell.New(s), t: t, now: start, ends: map[string]int64{}, outcomes: map[string]works.State{}, progress: map[string]works.Progress{}, stored: map[string]bool{}}
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond}})
	for i := range workers {
		b.known = append(b.known, rock.Worker{
			ID: fmt.Sprint("w", i), Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 4000, MemoryMB: 8000}, StartedAt: start, ReadAt: start,
		})
	}
	b.SetWorkers(b.now, b.known)
	return b
}

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
				for _, o := range b.started() {
					began[o.Job] = b.now.Sub(start)
					orders = append(orders, o)
				}
				b.pass(20 * time.Millisecond)
			}
			assert.Assert(t, began["new"] <= 40*time.Millisecond, "a new job started after %v", began["new"])
			assert.Assert(t, began["old"] >= c.want && began["old"] <= c.want+100*time.Millisecond, "the old job started after %v", began["old"])
		})
	}
}

func TestRunOfFormerOwnerGoesOn(t *testing.T) {
	b := takeover(t, 1, map[string]time.Time{"w0": {}})
	b.AddJob(b.now, job("a", step(1)), fence-1)
	b.AddProgress(b.now, "a", works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: 5, Worker: "w0"}}})
	b.pass(time.Millisecond)
	b.report("w0", []rock.Run{{Task: "a.0.0.0", Run: 5}}, nil)
	assert.Equal(t, len(b.started()), 0)
	b.pass(time.Second)
	b.report("w0", nil, []rock.End{{Task: "a.0.0.0", Run: 5, Reason: rock.EndDone}})
	b.flush()
	assert.Equal(t, b.outcomes["a"], works.Completed)
}

func TestStartIsOrderedOnlyAfterItsPlaceIsStored(t *testing.T) {
	b := newBench(t, 1, nil)
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

func TestEndOfLeaseIsStoredWhenTheOwnerLeaves(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	dead := b.started()[0].Worker.ID
	b.pass(100 * time.Millisecond)
	b.HandleUnanswered(b.now, b.now, dead, true, fmt.Errorf("no answer"))
	b.rows = nil
	b.flush()
	assert.Equal(t, len(b.rows), 0)
	b.PrepareRelease(b.now)
	b.flush()
	assert.Equal(t, len(b.rows), 1)
	assert.Equal(t, b.rows[0].ID, dead)
	until := b.rows[0].LeaseEnd
	assert.Assert(t, until.After(start.Add(4*time.Second)) && until.Before(start.Add(4200*time.Millisecond)), "%v", until.Sub(start))
}

func TestLateEntryDoesNotTakeAWorkerForLost(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	o := b.started()[0]
	b.pass(10 * time.Second)
	b.HandleUnanswered(b.now, b.now, o.Worker.ID, false, fmt.Errorf("no answer in time"))
	for _, w := range b.known {
		if w.ID != o.Worker.ID {
			b.report(w.ID, nil, nil)
		}
	}
	assert.Equal(t, len(b.started()), 0)
}

func lastingStep(count, maxPerWorker int, milliCores int64) works.Step {
	return works.Step{Count: count, Need: rock.Resources{MilliCores: milliCores, MemoryMB: 100}, Persistent: true, MaxUnavailable: 1, MaxPerWorker: maxPerWorker}
}

func TestLastingTaskIsNotStarvedBySmallOnes(t *testing.T) {
	b := newBench(t, 1, nil)
	var busy []cell.Order
	// Small tasks take the whole worker, and more of them wait.
	for i := range 6 {
		b.AddJob(b.now, job(fmt.Sprint("small", i), step(4)), 9)
	}
	busy = b.started()
	assert.Equal(t, len(busy), 4)
	b.AddJob(b.now, job("lasting", lastingStep(1, 0, 3000)), 9)
	for range 8 {
		b.pass(time.Second)
		b.report("w0", running(busy[1:]...), []rock.End{end(busy[0], rock.EndDone)})
		busy = append(busy[1:], b.started()...)
		for _, o := range busy {
			if o.Job == "lasting" {
				return
			}
		}
	}
	t.Fatal("the lasting task never found room")
}

func TestLastingTaskStaysOnClosingWorkerRatherThanNowhere(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", lastingStep(2, 1, 1000)), 9)
	s := b.started()
	assert.Equal(t, len(s), 2)
	b.SetClosing(map[string]bool{s[0].Worker.ID: true})
	b.pass(time.Second)
	b.report(s[1].Worker.ID, running(s[1]), nil)
	b.report(s[0].Worker.ID, nil, []rock.End{end(s[0], rock.EndFailed)})
	for range 30 {
		b.pass(100 * time.Millisecond)
		b.report(s[0].Worker.ID, nil, nil)
		b.report(s[1].Worker.ID, running(s[1]), nil)
		if again := b.started(); len(again) > 0 {
			assert.Equal(t, again[0].Worker.ID, s[0].Worker.ID, "the other worker may run only one of the step")
			return
		}
	}
	t.Fatal("the task was not started again")
}

func TestLeaseIsNotExtendedWhileItsEndIsBeingStored(t *testing.T) {
	cases := map[string]bool{"written": true, "failed": false}
	for name, written := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, nil)
			b.AddJob(b.now, job("a", step(1)), 9)
			id := b.started()[0].Worker.ID
			lease := func() time.Duration {
				_, h, ok := b.HoldOrder(b.now, id, 0)
				assert.Assert(t, ok)
				return h.LeaseUntil
			}
			b.pass(100 * time.Millisecond)
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

func TestAdvisedStepRunsOnlyWithATicket(t *testing.T) {
	b := newBench(t, 3, nil)
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, RequiresTicket: true}})
	b.AddJob(b.now, job("a", step(2)), 9)
	asks := b.Decide(b.now)
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].Kind, cell.OrderAdvise)
	assert.Equal(t, asks[0].Step, "a.0.0")
	assert.Equal(t, len(asks[0].Workers), 3)
	assert.Equal(t, len(b.Decide(b.now)), 0, "one question at a time")
	b.HandleAdvice(b.now, asks[0], []rock.Ticket{{Worker: "w1", Ticket: "t1"}}, 3*time.Second, nil)
	s := b.started()
	assert.Equal(t, len(s), 2)
	for _, o := range s {
		assert.Equal(t, o.Worker.ID+o.Start.Ticket, "w1t1")
	}
}

func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	b := newBench(t, 1, nil)
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

func TestFillingTasksAreSlowedBesideAServingOne(t *testing.T) {
	b := newBench(t, 1, nil)
	serving := lastingStep(1, 0, 1000)
	serving.LatencyTarget = 100 * time.Millisecond
	fill := lastingStep(1, 0, 1000)
	fill.BestEffort = true
	b.AddJob(b.now, job("serving", serving), 9)
	b.AddJob(b.now, job("fill", fill), 9)
	s := b.started()
	assert.Equal(t, len(s), 2)
	percent := 100
	tail := 150.0
	paced := func() {
		b.pass(700 * time.Millisecond)
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

func TestEndsAreNotNotedInAnotherLife(t *testing.T) {
	b := newBench(t, 1, nil)
	b.AddJob(b.now, job("a", step(2)), 9)
	s := b.started()
	b.pass(time.Second)
	b.report("w0", running(s[1]), []rock.End{end(s[0], rock.EndDone)})
	b.flush()
	assert.Equal(t, b.seen("w0"), int64(1))
	// The connection broke: the worker may have restarted under its id, and
	// its new life numbers its ends from 1.
	b.HandleUnanswered(b.now, b.now, "w0", true, fmt.Errorf("connection reset"))
	assert.Equal(t, b.seen("w0"), int64(0))
	b.report("w0", running(s[1]), nil)
	assert.Equal(t, b.seen("w0"), int64(1))
}

func TestLeaseOfFormerOwnerCountsAfterTheFirstAnswer(t *testing.T) {
	b := takeover(t, 2, map[string]time.Time{"w0": {}, "w1": {}})
	b.AddJob(b.now, job("a", step(1)), fence-1)
	b.AddProgress(b.now, "a", works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: 5, Worker: "w1"}}})
	b.pass(time.Millisecond)
	b.report("w0", nil, nil)
	b.report("w1", []rock.Run{{Task: "a.0.0.0", Run: 5}}, nil)
	for b.now.Before(start.Add(4500 * time.Millisecond)) {
		b.HandleUnanswered(b.now, b.now, "w1", true, fmt.Errorf("no answer"))
		b.report("w0", nil, nil)
		assert.Equal(t, len(b.started()), 0, "at %v", b.now.Sub(start))
		b.pass(100 * time.Millisecond)
	}
}

// TestNothingIsStartedWithoutNews decides with knowledge of the jobs that is too
// old, before the place of a task is found and after it is stored.
func TestNothingIsStartedWithoutNews(t *testing.T) {
	const old = 2600 * time.Millisecond
	b := newBench(t, 1, nil)
	b.AddJob(b.now, job("j", step(1)), fence+1)
	deaf := b.now.Add(-old)
	b.Cell.Decide(b.now, deaf)
	b.flush()
	assert.Equal(t, len(b.progress), 0, "a place was found")
	b.Decide(b.now)
	b.flush()
	assert.Equal(t, len(b.Cell.Decide(b.now, deaf)), 0)
	b.Cancel(b.now, "j")
	assert.Equal(t, len(b.Decide(b.now)), 0, "a cancelled job's task was started")
}
