package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestLateReportOfAGoneWorker guards against a task that waits for good: the answer to a
// renewal is handled after its worker is known to be gone, and lists a run of the task.
func TestLateReportOfAGoneWorker(t *testing.T) {
	cases := map[string]func(b *harness){
		"its host was taken down": func(b *harness) { b.MarkWorkerGone(b.now, "w0", "its host was taken down") },
		"another incarnation answers": func(b *harness) {
			b.HandleReport(b.now, b.now, "w0", rock.Report{Refusal: rock.RefusedIdentity})
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.AddJob(b.now, job(jobID, step(1)), 8)
			first := b.startTasks()
			assert.Equal(t, len(first), 1)
			b.advance(100 * time.Millisecond)
			lose(b)
			b.report("w0", running(first...), nil)
			b.registered[0].ID = "w1"
			b.SetWorkers(b.now, b.registered)
			b.report("w1", nil, nil)
			b.flush()
			again := b.startTasks()
			assert.Equal(t, len(again), 1, b.Describe(b.now, jobID))
			assert.Equal(t, again[0].Worker.ID, "w1")
		})
	}
}

// TestLateEndOnAGoneWorkerCounts guards against a task that runs again after it was done.
func TestLateEndOnAGoneWorkerCounts(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job(jobID, step(1)), 8)
	first := b.startTasks()
	b.advance(100 * time.Millisecond)
	b.MarkWorkerGone(b.now, "w0", "its host was taken down")
	b.report("w0", nil, []rock.End{end(first[0], rock.EndDone)})
	b.flush()
	assert.Equal(t, b.outcomes[jobID], works.Completed)
}

// TestLateRefusalOfAFormerAddress guards against a worker that counts as gone for good: it
// has come back at another address, and a refusal from its former one is handled late.
func TestLateRefusalOfAFormerAddress(t *testing.T) {
	for name, cameBack := range map[string]bool{"the worker has come back": true, "the worker is gone": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.AddJob(b.now, job(jobID, step(1)), 8)
			b.Decide(b.now)
			b.flush()
			first := b.Decide(b.now)
			assert.Equal(t, len(first), 1)
			b.advance(500 * time.Millisecond)
			born := b.now
			report := func() {
				b.HandleReport(b.now, b.now, "w0", rock.Report{Clock: b.now.Sub(born), WorkerStartedAt: born})
			}
			if cameBack {
				w := &b.registered[0]
				w.Address, w.StartedAt, w.ReadAt, w.Clock = "10.0.0.9:80", born, born, 0
				b.SetWorkers(b.now, b.registered)
				report()
			}
			b.HandleReply(b.now, first[0], rock.Reply{Refusal: rock.RefusedIdentity}, nil)
			_, _, polled := b.HoldOrder(b.now, "w0", 0)
			assert.Equal(t, polled, cameBack)
			if !cameBack {
				return
			}
			b.advance(500 * time.Millisecond)
			report()
			starts := b.startTasks()
			assert.Equal(t, len(starts), 1, b.Describe(b.now, jobID))
			assert.Equal(t, starts[0].Worker.Address, "10.0.0.9:80")
		})
	}
}

// TestWorkerReturnsWithAnEarlierStartTime guards against a worker that is given no tasks
// for good, because the time of day of its host was set back before it started again.
func TestWorkerReturnsWithAnEarlierStartTime(t *testing.T) {
	cases := map[string]struct {
		restarted time.Time
		want      bool
	}{
		"set back":               {restarted: start.Add(-time.Minute), want: true},
		"not set back":           {restarted: start.Add(time.Second), want: true},
		"its registration stays": {restarted: start},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.MarkWorkerGone(b.now, "w0", "its host was taken down")
			b.advance(2 * time.Second)
			b.registered[0].StartedAt, b.registered[0].ReadAt = c.restarted, b.now
			b.SetWorkers(b.now, b.registered)
			b.SetWorkers(b.now, b.registered)
			b.HandleReport(b.now, b.now, "w0", rock.Report{WorkerStartedAt: c.restarted})
			b.AddJob(b.now, job("a", step(1)), 9)
			assert.Equal(t, len(b.startTasks()) == 1, c.want)
		})
	}
}

// TestWorkerThatWasWronglyTakenForGone guards against a worker that is never used again
// because its host was said to be taken down, or another worker answered in its place,
// although it lives on.
func TestWorkerThatWasWronglyTakenForGone(t *testing.T) {
	cases := map[string]struct {
		lose func(b *harness)
		// registers is true if the worker writes its registration again.
		registers bool
	}{
		"its host was taken down":        {func(b *harness) { b.MarkWorkerGone(b.now, "w0", "its host was taken down") }, true},
		"another incarnation answers":    {func(b *harness) { b.HandleReport(b.now, b.now, "w0", rock.Report{Refusal: rock.RefusedIdentity}) }, true},
		"it is gone and was not removed": {func(b *harness) { b.MarkWorkerGone(b.now, "w0", "its host was taken down") }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.advance(time.Minute)
			b.report("w0", nil, nil)
			b.registered[0].Clock, b.registered[0].ReadAt = b.clock(), b.now
			b.SetWorkers(b.now, b.registered)
			c.lose(b)
			b.AddJob(b.now, job(jobID, step(1)), 8)
			started := false
			for range 10 {
				b.advance(500 * time.Millisecond)
				if c.registers {
					b.registered[0].Clock, b.registered[0].ReadAt = b.clock(), b.now
				}
				b.SetWorkers(b.now, b.registered)
				if _, _, ok := b.HoldOrder(b.now, "w0", 0); ok {
					b.report("w0", nil, nil)
				}
				b.flush()
				started = started || len(b.startTasks()) > 0
			}
			assert.Equal(t, started, c.registers, b.Describe(b.now, jobID))
		})
	}
}

// TestBatchOfAFormerIncarnationAcknowledgesNothing guards against a task that runs twice:
// its end is acknowledged before it is stored, because a batch that was written while its
// worker restarted holds an end with the same number.
func TestBatchOfAFormerIncarnationAcknowledgesNothing(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("a", step(2)), 9)
	s := b.startTasks()
	assert.Equal(t, len(s), 2)
	b.report("w0", running(s[1]), []rock.End{end(s[0], rock.EndDone)})
	batch := b.Flush(b.now)
	b.advance(time.Second)
	// A late copy of the other start has reached the next incarnation.
	other := rock.End{Number: 1, Task: s[1].Start.Task, Run: s[1].Start.Run, Reason: rock.EndDone}
	b.HandleReport(b.now, b.now, "w0", rock.Report{WorkerStartedAt: b.now, Ended: []rock.End{other}})
	b.Flushed(b.now, batch)
	assert.Equal(t, b.ackedUpTo("w0"), int64(0))
	b.flush()
	assert.Equal(t, b.ackedUpTo("w0"), int64(1))
}
