//go:build review2

// Package findings has tests of findings of the second review that are no cases.
package findings

import (
	"errors"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"
)

// drainTime is Bounds.DrainMs of the small sites: a task may not start later than this after
// the store has acknowledged that its worker drains.
const drainTime = 2 * time.Second

// TestNoStartIsRepeatedOnADrainingWorker plays the order of events of drain-day.toml: a start
// has no answer, its worker leaves renewals without an answer, too, is registered as draining
// meanwhile, and answers renewals again.
func TestNoStartIsRepeatedOnADrainingWorker(t *testing.T) {
	const job = "00000000000000a1"
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := began
	c := cell.New(cell.Settings{Pool: "tins", Fence: 7, LeaseDuration: 4 * time.Second, MaxStopDuration: 400 * time.Millisecond, RemoteSlowdown: 3})
	c.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 4, Stretch: 1.6, Objective: 600 * time.Millisecond}})
	w := rock.Worker{
		ID: "w0", Address: "127.0.0.1:80", Pool: "tins", State: rock.WorkerReady,
		Capacity: rock.Resources{MilliCores: 4000, MemoryMB: 8000}, StartedAt: began, ReadAt: began,
	}
	c.SetWorkers(now, []rock.Worker{w})
	report := func() {
		c.HandleReport(now, now, w.ID, rock.Report{Clock: now.Sub(began), WorkerStartedAt: began})
	}
	report()
	c.Flushed(now, c.Flush(now))
	c.AddJob(now, works.Job{ID: job, Queue: "q", Accepted: began, Spec: works.Spec{Payload: "p", Steps: []works.Step{
		{Count: 1, Need: rock.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second},
	}}}, 8)
	c.Decide(now, now)
	c.Flushed(now, c.Flush(now))
	orders := c.Decide(now, now)
	if len(orders) != 1 || orders[0].Kind != cell.OrderStart {
		t.Fatalf("the task of job %s is not started", job)
	}
	sent := now
	noAnswer := rock.Fail("start", "w0", rock.OutcomeUnknown, rock.MayHaveRun).Because(errors.New("timeout"))

	now = now.Add(200 * time.Millisecond)
	w.State = rock.WorkerDraining
	drains := now
	c.SetWorkers(now, []rock.Worker{w})
	now = now.Add(300 * time.Millisecond)
	c.HandleUnanswered(now, sent, w.ID, true, noAnswer)
	now = now.Add(400 * time.Millisecond)
	c.HandleReply(now, orders[0], rock.Reply{}, noAnswer)
	for now.Sub(drains) < 3*time.Second {
		now = now.Add(100 * time.Millisecond)
		if now.Sub(drains) > drainTime {
			report()
		}
		for _, o := range c.Decide(now, now) {
			if after := now.Sub(drains); o.Kind == cell.OrderStart && o.Worker.ID == w.ID && after > drainTime {
				t.Fatalf("task %s is started on worker %s %v after it was registered as draining: want at most %v", o.Start.Task, w.ID, after, drainTime)
			}
		}
		c.Flushed(now, c.Flush(now))
	}
}
