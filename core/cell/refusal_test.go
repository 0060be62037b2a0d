package cell_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"

	"gotest.tools/v3/assert"
)

// TestWorkerThatRefusesRenewals guards against tasks that wait for good on a worker which
// answers every renewal with a refusal.
func TestWorkerThatRefusesRenewals(t *testing.T) {
	cases := map[string]struct {
		started bool
		refusal rock.Refusal
	}{
		"the run is placed":            {false, rock.RefusedBusy},
		"the run has started":          {true, rock.RefusedBusy},
		"the reason is an unknown one": {true, rock.RefusedOther},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.AddJob(b.now, job(jobID, step(1)), 8)
			b.Decide(b.now)
			if c.started {
				b.startTasks()
			}
			b.registered = append(b.registered, b.registered[0])
			b.registered[1].ID = "w1"
			b.SetWorkers(b.now, b.registered)
			for range 100 {
				b.advance(100 * time.Millisecond)
				sent := b.now
				b.HandleReport(b.now, sent, "w0", rock.Report{Refusal: c.refusal, Clock: b.clock()})
				b.report("w1", nil, nil)
				b.flush()
				for _, o := range b.startTasks() {
					if o.Kind == cell.OrderStart && o.Worker.ID == "w1" {
						return
					}
				}
			}
			t.Errorf("the task waits\n%s", b.Describe(b.now, jobID))
		})
	}
}

// TestTaskLeavesAWorkerThatRefusesIt guards against a task that is given to the same
// worker again and again, which refuses it, while another one is free.
func TestTaskLeavesAWorkerThatRefusesIt(t *testing.T) {
	t.Parallel()
	for _, refusal := range []rock.Refusal{rock.RefusedCapacity, rock.RefusedLeaseExpired, rock.RefusedStaleRun, rock.RefusedBusy, rock.RefusedOther} {
		t.Run(string(refusal), func(t *testing.T) {
			t.Parallel()
			b := newHarness(t, 2, nil)
			b.AddJob(b.now, job(jobID, step(1)), 8)
			var refusedBy string
			for range 20 {
				b.Decide(b.now)
				b.flush()
				for _, o := range b.Decide(b.now) {
					assert.Equal(t, o.Kind, cell.OrderStart)
					if refusedBy == "" {
						refusedBy = o.Worker.ID
					}
					if o.Worker.ID != refusedBy {
						return
					}
					b.HandleReply(b.now, o, rock.Reply{Refusal: refusal, Clock: b.clock()}, nil)
				}
				b.advance(50 * time.Millisecond)
				for _, w := range b.registered {
					b.report(w.ID, nil, nil)
				}
			}
			t.Errorf("the task waits\n%s", b.Describe(b.now, jobID))
		})
	}
}

// TestUnknownRefusalOfAStop guards against two runs of a task at the same time: the worker
// has not carried out the stop, and a copy of the unanswered start may still arrive.
func TestUnknownRefusalOfAStop(t *testing.T) {
	t.Parallel()
	for _, refusal := range []rock.Refusal{rock.RefusedBusy, rock.RefusedOther} {
		t.Run(string(refusal), func(t *testing.T) {
			t.Parallel()
			b := newHarness(t, 2, nil)
			b.AddJob(b.now, job(jobID, step(1)), 8)
			b.Decide(b.now)
			b.flush()
			first := b.Decide(b.now)
			assert.Equal(t, len(first), 1)
			b.HandleReply(b.now, first[0], rock.Reply{}, errors.New("no answer"))
			for range 20 {
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered {
					b.report(w.ID, nil, nil)
				}
				for _, o := range b.Decide(b.now) {
					assert.Assert(t, o.Kind == cell.OrderStop || o.Start.Run == first[0].Start.Run, "another run starts")
					b.HandleReply(b.now, o, rock.Reply{Refusal: refusal, Clock: b.clock()}, nil)
				}
				b.flush()
			}
		})
	}
}

// TestLateRefusalOfAnotherIncarnation guards against a worker that is taken for gone for
// good: a call to its former address is answered after it has restarted at another one.
func TestLateRefusalOfAnotherIncarnation(t *testing.T) {
	t.Parallel()
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job(jobID, step(1)), 8)
	b.Decide(b.now)
	b.flush()
	first := b.Decide(b.now)
	assert.Equal(t, len(first), 1)
	b.advance(500 * time.Millisecond)
	restarted := b.now
	b.registered[0].Address, b.registered[0].StartedAt = "10.0.0.2:80", restarted
	report := func() {
		b.SetWorkers(b.now, b.registered)
		b.HandleReport(b.now, b.now, "w0", rock.Report{Clock: b.now.Sub(restarted), WorkerStartedAt: restarted})
		b.flush()
	}
	report()
	b.HandleReply(b.now, first[0], rock.Reply{Refusal: rock.RefusedIdentity}, nil)
	for range 10 {
		b.advance(100 * time.Millisecond)
		report()
		if len(b.startTasks()) > 0 {
			return
		}
	}
	t.Errorf("the task waits\n%s", b.Describe(b.now, jobID))
}

// TestTasksLeaveAFaultyWorker guards against tasks that wait for good for an answer of a
// worker that refuses some kinds of orders, or leaves them unanswered, while another
// worker is free.
func TestTasksLeaveAFaultyWorker(t *testing.T) {
	t.Parallel()
	answers := []answer{accepts, busy, unknown, silent}
	for _, renewals := range append(answers, lateBusy) {
		for _, starts := range answers {
			for _, stops := range answers {
				for _, drained := range []bool{false, true} {
					t.Run(fmt.Sprintf("renewals %s, starts %s, stops %s, drained %v", renewals, starts, stops, drained), func(t *testing.T) {
						t.Parallel()
						testFaultyWorker(t, faultyAnswers{renewals, starts, stops}, drained)
					})
				}
			}
		}
	}
}

// TestTaskLeavesAWorkerThatIgnoresStarts guards against tasks that are given to a worker
// which leaves starts unanswered for longer than the platform's rules allow tasks to wait.
func TestTaskLeavesAWorkerThatIgnoresStarts(t *testing.T) {
	t.Parallel()
	const leaseEnd = 4 * time.Second // of a start that is not stopped
	for stops, limit := range map[answer]time.Duration{accepts: 3 * time.Second, busy: leaseEnd + 3*time.Second, silent: leaseEnd + 3*time.Second} {
		t.Run("stops "+string(stops), func(t *testing.T) {
			t.Parallel()
			const jobs = 8
			s := newFaultySite(t)
			s.workers["w0"].answers = faultyAnswers{accepts, silent, stops}
			for i := range jobs {
				s.AddJob(s.now, job(fmt.Sprintf("%016x", i), step(1)), 8)
			}
			s.play(limit)
			assert.Equal(t, len(s.outcomes), jobs)
		})
	}
}

// testFaultyWorker submits jobs, of which some are cancelled, while a worker begins to
// answer otherwise, and checks that all of them end, and that all persistent tasks run.
func testFaultyWorker(t *testing.T, how faultyAnswers, drained bool) {
	t.Helper()
	const faultyJobs = 20
	s := newFaultySite(t)
	s.AddJob(s.now, job("lasting", persistentStep(2, 2, 1000)), 8)
	for i := range faultyJobs {
		id := fmt.Sprintf("%016x", i)
		s.AddJob(s.now, job(id, step(2)), 8)
		s.play(50 * time.Millisecond)
		if i == faultyJobs/2 {
			s.workers["w0"].answers = how
			s.SetClosing(map[string]bool{"w0": drained})
		}
		if i%2 == 0 {
			s.Cancel(s.now, id)
		}
	}
	s.play(15 * time.Second)
	for i := range faultyJobs {
		id := fmt.Sprintf("%016x", i)
		if _, ok := s.outcomes[id]; !ok {
			t.Errorf("the job has not ended\n%s", s.Describe(s.now, id))
		}
	}
	for _, task := range []string{"lasting.0.0.0", "lasting.0.0.1"} {
		_, on0 := s.workers["w0"].runs[task]
		_, on1 := s.workers["w1"].runs[task]
		if !on0 && !on1 {
			t.Errorf("%s does not run\n%s", task, s.Describe(s.now, "lasting"))
		}
	}
}
