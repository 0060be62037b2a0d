package cell_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// longWait is how long a task must have waited to be described.
const longWait = 2 * time.Second

// wait passes 3 s in which all registered workers report the given runs, by worker.
func (b *harness) wait(live map[string][]rock.Run) {
	for range 6 {
		b.advance(500 * time.Millisecond)
		for _, w := range b.registered {
			b.report(w.ID, live[w.ID], nil)
		}
	}
}

// decideWhileWaiting does the same as wait and makes decisions, whose starts and queries
// have no answer.
func (b *harness) decideWhileWaiting(live map[string][]rock.Run) {
	b.wait(live)
	b.Decide(b.now)
}

// liveRuns returns the runs that were started, by worker.
func liveRuns(starts []cell.Order) map[string][]rock.Run {
	live := map[string][]rock.Run{}
	for _, o := range starts {
		live[o.Worker.ID] = append(live[o.Worker.ID], running(o)...)
	}
	return live
}

// waiting returns the descriptions of all tasks that have waited for long.
func (b *harness) waiting() []cell.Waiting {
	return b.Waiting(b.now, cell.WaitQuery{Longer: longWait, MaxJobs: 100}).Waiting
}

// waitingJob returns the description of the job's tasks, of which there must be one.
func (b *harness) waitingJob(id string) cell.Waiting {
	b.t.Helper()
	var found []cell.Waiting
	for _, w := range b.waiting() {
		if w.Job == id {
			found = append(found, w)
		}
	}
	assert.Equal(b.t, len(found), 1, "%+v", found)
	return found[0]
}

// countExcluded returns the numbers of excluded workers by reason.
func countExcluded(w cell.Waiting) map[cell.Exclusion]int {
	counts := map[cell.Exclusion]int{}
	for _, x := range w.Excluded {
		counts[x.Reason] = x.Count
	}
	return counts
}

// cores returns a step of one task that needs so many cores.
func cores(n int64) works.Step {
	s := step(1)
	s.Need.MilliCores = 1000 * n
	return s
}

// TestWaitCauses guards against tasks that wait for a cause that is not named, or for
// another one than the named one. Each case brings about one cause for job "a".
func TestWaitCauses(t *testing.T) {
	t.Parallel()
	labelled := step(1)
	labelled.Label = "gpu"
	gang := cores(3)
	gang.Gang, gang.Count = true, 2
	cyclic := step(1, 0)
	cases := map[cell.WaitCause]struct {
		workers int
		arrange func(b *harness)
	}{
		cell.WaitPlacing: {1, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			b.wait(nil)
		}},
		cell.WaitPlacementStored: {1, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			b.Decide(b.now)
			b.decideWhileWaiting(nil)
		}},
		cell.WaitStart: {1, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			b.Decide(b.now)
			b.flush()
			assert.Equal(b.t, len(b.Decide(b.now)), 1)
			b.decideWhileWaiting(nil)
		}},
		cell.WaitRun: {1, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			assert.Equal(b.t, len(b.startTasks()), 1)
			b.advance(3 * time.Second)
			b.Decide(b.now)
		}},
		cell.WaitStop: {2, func(b *harness) {
			b.AddJob(b.now, job("a", persistentStep(1, 0, 1000)), 9)
			starts := b.startTasks()
			b.report(starts[0].Worker.ID, running(starts...), nil)
			for i := range b.registered {
				if b.registered[i].ID == starts[0].Worker.ID {
					b.registered[i].State = rock.WorkerDraining
				}
			}
			b.SetWorkers(b.now, b.registered)
			assert.Equal(b.t, len(b.Decide(b.now)), 1)
			b.decideWhileWaiting(liveRuns(starts))
		}},
		cell.WaitFormerRun: {1, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			b.AddProgress(b.now, "a", works.Progress{Tasks: []works.TaskProgress{{Run: 3, Worker: "former"}}})
			b.decideWhileWaiting(nil)
		}},
		cell.WaitStartsPaused: {1, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			b.wait(nil)
			b.Cell.Decide(b.now, b.now.Add(-3*time.Second))
		}},
		cell.WaitUsableWorker: {2, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			b.MarkWorkerGone(b.now, "w0", "its host was taken down")
			b.MarkWorkerGone(b.now, "w1", "its host was taken down")
			b.advance(3 * time.Second)
			b.Decide(b.now)
		}},
		cell.WaitCapacity: {2, func(b *harness) {
			b.AddJob(b.now, job("a", cores(5)), 9)
			b.decideWhileWaiting(nil)
		}},
		cell.WaitReserved: {1, func(b *harness) {
			b.AddJob(b.now, job("b", cores(2)), 8) // half of the pool
			live := liveRuns(b.startTasks())
			b.AddJob(b.now, job("c", persistentStep(1, 0, 4000)), 9)
			b.AddJob(b.now, job("a", cores(1)), 10)
			b.decideWhileWaiting(live)
			assert.Equal(b.t, b.waitingJob("c").Cause, cell.WaitCapacity)
			assert.Equal(b.t, countExcluded(b.waitingJob("a"))[cell.ExcludedReserved], 1)
		}},
		cell.WaitEligibleWorker: {2, func(b *harness) {
			b.AddJob(b.now, job("a", labelled), 9)
			b.decideWhileWaiting(nil)
		}},
		cell.WaitAdvice: {1, func(b *harness) {
			b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, RequiresTicket: true}})
			b.AddJob(b.now, job("a", step(1)), 9)
			b.decideWhileWaiting(nil)
		}},
		cell.WaitGang: {1, func(b *harness) {
			b.AddJob(b.now, job("a", gang), 9)
			b.decideWhileWaiting(nil)
		}},
		cell.WaitDependencies: {1, func(b *harness) {
			b.AddJob(b.now, job("a", cyclic), 9)
			b.decideWhileWaiting(nil)
		}},
		cell.WaitOutcomeStored: {1, func(b *harness) {
			b.AddJob(b.now, job("a", step(1)), 9)
			b.Cancel(b.now, "a")
			b.decideWhileWaiting(nil)
		}},
	}
	for cause, c := range cases {
		t.Run(string(cause), func(t *testing.T) {
			t.Parallel()
			b := newHarness(t, c.workers, func(s *cell.Settings) {
				s.FormerWorkers, s.FormerLeasesEndAt = map[string]time.Time{"former": {}}, start.Add(time.Minute)
			})
			c.arrange(b)
			w := b.waitingJob("a")
			assert.Equal(t, w.Cause, cause, "%+v", w)
			assert.Assert(t, !w.Since.Before(start) && b.now.Sub(w.Since) >= longWait, "%v", w.Since)
			excluded := w.Eligible
			for _, x := range w.Excluded {
				excluded += x.Count
			}
			placeable := w.Task != "" && w.Run == nil
			assert.Equal(t, excluded > 0, placeable, "%+v", w)
		})
	}
}

// TestRestartDelayIsAWaitCause guards against a persistent task that seems to wait for a
// worker while it waits for its restart delay.
func TestRestartDelayIsAWaitCause(t *testing.T) {
	t.Parallel()
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job(jobID, persistentStep(1, 0, 1000)), 9)
	s := b.startTasks()
	b.report("w0", nil, []rock.End{end(s[0], rock.EndFailed)})
	b.Decide(b.now)
	b.advance(20 * time.Millisecond)
	r := b.Waiting(b.now, cell.WaitQuery{MaxJobs: 1})
	assert.Equal(t, len(r.Waiting), 1)
	assert.Equal(t, r.Waiting[0].Cause, cell.WaitRestartDelay)
}

// TestExclusions guards against workers that are excluded for a reason that is not named.
// Each case brings about one reason for the only worker.
func TestExclusions(t *testing.T) {
	t.Parallel()
	small := rock.Resources{MilliCores: 1000, MemoryMB: 8000}
	cases := map[cell.Exclusion]func(b *harness){
		cell.ExcludedGone: func(b *harness) { b.MarkWorkerGone(b.now, "w0", "its host was taken down") },
		cell.ExcludedUnresponsive: func(b *harness) {
			b.HandleUnanswered(b.now, b.now, "w0", true, errors.New("no answer"))
		},
		cell.ExcludedNotReady: func(b *harness) {
			b.registered[0].State = rock.WorkerDraining
			b.SetWorkers(b.now, b.registered)
		},
		cell.ExcludedReportAge: func(b *harness) {
			b.advance(1600 * time.Millisecond)
			b.report("w1", nil, nil)
		},
		cell.ExcludedClosing: func(b *harness) {
			b.AddJob(b.now, job("b", cores(2)), 10)
			b.startTasks() // tasks may go to a worker that is being drained while most is free
			b.SetClosing(map[string]bool{"w0": true})
		},
		cell.ExcludedTakenDown: func(b *harness) {
			b.SetClosing(map[string]bool{"w0": true})
			assert.Assert(b.t, b.BeginTakeDown(b.now, b.now.Add(time.Second), "w0", b.Occupancy(b.now, "w0")))
		},
		cell.ExcludedCapacity: func(b *harness) {
			b.registered[0].Capacity = small
			b.SetWorkers(b.now, b.registered)
		},
		cell.ExcludedLabel: func(b *harness) {
			b.registered[0].Labels = []string{"other"}
			b.SetWorkers(b.now, b.registered)
		},
		cell.ExcludedBackoff: func(b *harness) {
			b.AddJob(b.now, job("b", cores(2)), 10)
			b.Decide(b.now)
			b.flush()
			for _, o := range b.Decide(b.now) {
				if o.Kind == cell.OrderStart {
					b.HandleReply(b.now, o, rock.Reply{Refusal: rock.RefusedBusy}, nil)
				}
			}
			b.Cancel(b.now, "b")
		},
	}
	for reason, arrange := range cases {
		t.Run(string(reason), func(t *testing.T) {
			t.Parallel()
			b := newHarness(t, 1, nil)
			s := cores(2)
			s.Label = "r1"
			b.wait(nil)
			arrange(b)
			b.AddJob(b.now.Add(-3*time.Second), job("a", s), 9)
			b.Decide(b.now)
			w := b.waitingJob("a")
			assert.Equal(t, len(w.Excluded), 1, "%+v", w)
			assert.DeepEqual(t, w.Excluded[0], cell.ExcludedWorkers{Reason: reason, Count: 1, Workers: []string{"w0"}})
		})
	}
}

// TestExclusionsOfNewWorkers does the same for workers that the owner does not know for
// long.
func TestExclusionsOfNewWorkers(t *testing.T) {
	t.Parallel()
	cases := map[cell.Exclusion]struct {
		former map[string]time.Time
		report bool
		flush  bool
	}{
		cell.ExcludedUnregistered: {map[string]time.Time{"other": start.Add(time.Minute)}, true, false},
		cell.ExcludedUnfenced:     {nil, false, true},
		cell.ExcludedUnstored:     {nil, true, false},
		cell.ExcludedLeaseEnd:     {map[string]time.Time{"w9": start.Add(time.Minute)}, true, false},
	}
	for reason, c := range cases {
		t.Run(string(reason), func(t *testing.T) {
			t.Parallel()
			b := newHarness(t, 0, func(s *cell.Settings) { s.FormerWorkers = c.former })
			b.AddJob(b.now, job("a", step(1)), 9)
			b.advance(3 * time.Second)
			if reason != cell.ExcludedUnregistered {
				b.SetWorkers(b.now, []rock.Worker{{ID: "w9", Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 4000, MemoryMB: 8000}, StartedAt: start, ReadAt: start}})
			}
			if c.report {
				b.report("w9", nil, nil)
			}
			b.Decide(b.now)
			if c.flush {
				b.flush()
			}
			w := b.waitingJob("a")
			assert.Equal(t, w.Cause, cell.WaitUsableWorker)
			assert.Equal(t, len(w.Excluded), 1, "%+v", w)
			assert.Equal(t, w.Excluded[0].Reason, reason)
		})
	}
}

// TestExclusionsOfSteps guards against a task that waits beside idle workers for a reason
// that only holds for its step.
func TestExclusionsOfSteps(t *testing.T) {
	t.Parallel()
	apart := step(2)
	apart.MaxPerWorker = 1
	cases := map[cell.Exclusion]func(b *harness) map[string][]rock.Run{
		cell.ExcludedMaxPerWorker: func(b *harness) map[string][]rock.Run {
			b.AddJob(b.now, job("a", apart), 9)
			return liveRuns(b.startTasks())
		},
		cell.ExcludedNoTicket: func(b *harness) map[string][]rock.Run {
			b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, RequiresTicket: true}})
			b.AddJob(b.now, job("a", step(1)), 9)
			b.HandleAdvice(b.now, b.Decide(b.now)[0], []rock.Ticket{{Worker: "elsewhere", Ticket: "t"}}, time.Minute, nil)
			return nil
		},
	}
	for reason, arrange := range cases {
		t.Run(string(reason), func(t *testing.T) {
			t.Parallel()
			b := newHarness(t, 1, nil)
			b.decideWhileWaiting(arrange(b))
			w := b.waitingJob("a")
			assert.Equal(t, w.Cause, cell.WaitEligibleWorker)
			assert.Equal(t, w.Tasks, 1)
			assert.DeepEqual(t, w.Excluded, []cell.ExcludedWorkers{{Reason: reason, Count: 1, Workers: []string{"w0"}}})
		})
	}
}

// TestEjectedWorkerIsExcluded guards against a worker that is excluded without a reason
// because its runs fail while those of the others succeed. The task of job "a" may run
// only there.
func TestEjectedWorkerIsExcluded(t *testing.T) {
	t.Parallel()
	b := newHarness(t, 4, nil)
	b.registered[0].Labels = []string{"only"}
	b.SetWorkers(b.now, b.registered)
	busy := persistentStep(3, 1, 3000) // while most of the pool is free, an ejected worker is tried
	busy.Label = "r1"
	b.AddJob(b.now, job("busy", busy), 9)
	live := liveRuns(b.startTasks())
	assert.Equal(t, len(live), 3)
	only := step(1)
	only.Label = "only"
	b.AddJob(b.now, job("a", only), 9)
	others := step(600)
	others.Label = "r1"
	b.AddJob(b.now, job(jobID, others), 9)
	for refused := 1; refused > 0 && b.now.Before(start.Add(time.Minute)); {
		b.Decide(b.now)
		b.flush()
		refused = 0
		ended := map[string][]rock.End{}
		for _, o := range b.Decide(b.now) {
			switch {
			case o.Kind == cell.OrderStart && o.Job == "a":
				refused++
				b.HandleReply(b.now, o, rock.Reply{Refusal: rock.RefusedBusy}, nil)
			case o.Kind == cell.OrderStart:
				b.HandleReply(b.now, o, rock.Reply{Clock: b.clock()}, nil)
				ended[o.Worker.ID] = append(ended[o.Worker.ID], end(o, rock.EndDone))
			}
		}
		b.advance(600 * time.Millisecond)
		for _, w := range b.registered {
			b.report(w.ID, live[w.ID], ended[w.ID])
		}
	}
	b.decideWhileWaiting(live)
	w := b.waitingJob("a")
	assert.Equal(t, w.Cause, cell.WaitEligibleWorker, "%+v", w)
	assert.DeepEqual(t, countExcluded(w), map[cell.Exclusion]int{cell.ExcludedTaskLimit: 1, cell.ExcludedLabel: 3})
}

// TestWaitingIsBounded guards against descriptions that grow with the cell. More jobs
// wait than may be described, on more workers than may be named.
func TestWaitingIsBounded(t *testing.T) {
	t.Parallel()
	b := newHarness(t, 30, nil)
	b.flush() // the rows of the last workers
	for i := range 9 {
		b.advance(time.Millisecond)
		large := cores(5)
		large.Count = 10
		b.AddJob(b.now, job(fmt.Sprint("j", i), large, large, large, large), 9)
	}
	b.decideWhileWaiting(nil)
	skipped := map[string]bool{"j0": true, "j1": true}
	r := b.Waiting(b.now, cell.WaitQuery{Longer: longWait, MaxJobs: 2, Skip: func(id string) bool { return skipped[id] }})
	assert.Equal(t, r.Tasks, 9*4*10)
	assert.Equal(t, r.Jobs, 9)
	assert.Equal(t, r.LeftOut, 5)
	described := map[string]int{}
	for _, w := range r.Waiting {
		described[w.Job]++
		assert.Equal(t, w.Tasks, 10)
		assert.Equal(t, len(w.Excluded), 1)
		assert.Equal(t, w.Excluded[0].Count, 30)
		assert.Assert(t, len(w.Excluded[0].Workers) <= 5)
	}
	assert.DeepEqual(t, described, map[string]int{"j2": 3, "j3": 3})
	assert.Equal(t, r.Capacity, rock.Resources{MilliCores: 30 * 4000, MemoryMB: 30 * 8000})
	assert.Equal(t, r.Free, r.Capacity)
}

// TestTasksThatRunDoNotWait guards against lines about healthy tasks: those whose runs are
// reported, those of later steps, and those whose scheduled time has not come.
func TestTasksThatRunDoNotWait(t *testing.T) {
	t.Parallel()
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(2), step(1, 0)), 9)
	later := job("b", step(1))
	later.Spec.First, later.Spec.Interval, later.Spec.Times = start.Add(time.Hour), time.Minute, 3
	b.AddJob(b.now, later, 10)
	starts := b.startTasks()
	assert.Equal(t, len(starts), 2)
	b.decideWhileWaiting(liveRuns(starts))
	assert.DeepEqual(t, b.Waiting(b.now, cell.WaitQuery{Longer: longWait, MaxJobs: 9}).Waiting, []cell.Waiting(nil))
}

// TestGoneWorkersWithRunsAreReported guards against runs that no report can end any more.
func TestGoneWorkersWithRunsAreReported(t *testing.T) {
	t.Parallel()
	b := newHarness(t, 2, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	w := b.startTasks()[0].Worker.ID
	q := cell.WaitQuery{Longer: longWait}
	assert.Equal(t, len(b.Waiting(b.now, q).GoneWithRuns), 0)
	b.MakeGone(w)
	assert.DeepEqual(t, b.Waiting(b.now, q).GoneWithRuns, []string{w})
}

// TestOutcomeWaitsSinceTheEnd guards against jobs that are said to have waited for their
// outcome since they were accepted.
func TestOutcomeWaitsSinceTheEnd(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	s := b.startTasks()
	b.wait(liveRuns(s))
	b.report("w0", nil, []rock.End{end(s[0], rock.EndDone)})
	assert.Equal(t, len(b.waiting()), 0)
	b.wait(nil)
	assert.Equal(t, b.waitingJob("a").Cause, cell.WaitOutcomeStored)
}
