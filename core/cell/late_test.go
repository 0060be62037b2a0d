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
