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
}

func newBench(t *testing.T, workers int, change func(*cell.Settings)) *bench {
	t.Helper()
	s := cell.Settings{Pool: "tins", Fence: fence, Hold: 4 * time.Second, Stop: 400 * time.Millisecond, Far: 3}
	if change != nil {
		change(&s)
	}
	b := &bench{Cell: cell.New(s), t: t, now: start, ends: map[string]int64{}}
	b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond}})
	for i := range workers {
		b.known = append(b.known, rock.Worker{
			ID: fmt.Sprint("w", i), Pool: "tins", State: rock.WorkerReady, Room: rock.Room{MilliCores: 4000, MemoryMB: 8000},
			Labels: []string{"a", "r1"}, Born: start, ReadAt: start,
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
	b.Report(b.now, sent, id, rock.Report{Clock: b.clock(), Born: start, Running: running, Ended: ended})
}

func (b *bench) flush() *cell.Batch {
	batch := b.Flush(b.now)
	b.Flushed(b.now, batch)
	return batch
}

// seen returns what a worker would be told to be stored.
func (b *bench) seen(id string) int64 {
	_, h, ok := b.HoldOrder(b.now, id, 0)
	assert.Assert(b.t, ok)
	return h.SeenUpTo
}

// started returns the orders to start, after they were answered.
func (b *bench) started() []cell.Order {
	var starts []cell.Order
	for _, o := range b.Decide(b.now) {
		if o.Kind == cell.OrderStart {
			starts = append(starts, o)
		}
		b.Answered(b.now, o, rock.Reply{Clock: b.clock()}, nil)
	}
	return starts
}

func job(id string, version uint64, steps ...works.Step) works.Job {
	return works.Job{ID: id, Queue: "q", Accepted: start, Spec: works.Spec{Payload: "p", Steps: steps}}
}

func step(count int, after ...int) works.Step {
	return works.Step{Count: count, Need: rock.Room{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second, After: after}
}

func end(o cell.Order, how rock.Ending) rock.End {
	return rock.End{Task: o.Start.Task, Run: o.Start.Run, How: how}
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
	b.AddJob(b.now, job("a", 9, step(2)), 9)
	s := b.started()
	assert.Equal(t, len(s), 2)
	b.pass(time.Second)
	b.report("w0", running(s[1]), []rock.End{end(s[0], rock.EndDone)})
	batch := b.Flush(b.now)
	// The write is on its way when the worker lists the same end again.
	b.Report(b.now, b.now, "w0", rock.Report{Clock: b.clock(), Born: start, Running: running(s[1]), Ended: []rock.End{{Number: 1, Task: s[0].Start.Task, Run: s[0].Start.Run, How: rock.EndDone}}})
	assert.Equal(t, b.seen("w0"), int64(0))
	b.FlushFailed(b.now, batch)
	b.report("w0", running(s[1]), nil)
	assert.Equal(t, b.seen("w0"), int64(0))
	b.flush()
	assert.Equal(t, b.seen("w0"), int64(1))
}

func TestLeaseOfSilentWorkerPasses(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", 9, step(1)), 9)
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
				b.Silent(b.now, b.now, w.ID, fmt.Errorf("no answer"))
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
	b.AddJob(b.now, job("a", 9, step(1)), 9)
	dead := b.started()[0].Worker.ID
	b.HoldOrder(b.now, dead, 0)
	for b.now.Before(start.Add(4 * time.Second)) {
		b.Silent(b.now, b.now, dead, fmt.Errorf("no answer"))
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
	j := job("a", 9, step(1))
	b.AddJob(b.now, j, 9)
	s := b.started()
	b.pass(time.Second)
	b.report("w0", nil, []rock.End{end(s[0], rock.EndDone)})
	b.pass(time.Second)
	batch := b.flush()
	assert.Equal(t, len(batch.Writes), 1)
	assert.Equal(t, batch.Writes[0].Outcome.State, works.Completed)
	// A listing that began before the write arrives after it.
	b.AddJob(b.now, j, 9)
	assert.Equal(t, len(b.started()), 0)
}

func TestRunsAreLostOnlyAfterAQuestionThatFollowsTheLease(t *testing.T) {
	b := newBench(t, 2, nil)
	b.AddJob(b.now, job("a", 9, step(1)), 9)
	o := b.started()[0]
	slow := o.Worker.ID
	sent := b.now
	b.pass(10 * time.Second) // the entry was busy, the question is old
	b.Silent(b.now, sent, slow, fmt.Errorf("no answer"))
	for _, w := range b.known {
		if w.ID != slow {
			b.report(w.ID, nil, nil)
		}
	}
	assert.Equal(t, len(b.started()), 0, "the task may have ended")
	b.report(slow, nil, []rock.End{end(o, rock.EndDone)})
	assert.Equal(t, len(b.started()), 0)
	b.pass(time.Second)
	batch := b.flush()
	assert.Equal(t, batch.Writes[0].Outcome.State, works.Completed)
}
