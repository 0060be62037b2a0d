package cell_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// scheduledJob returns a job that runs several times.
func scheduledJob(id string, first time.Time, interval time.Duration, times int, steps ...works.Step) works.Job {
	j := job(id, steps...)
	j.Spec.First, j.Spec.Interval, j.Spec.Times = first, interval, times
	return j
}

// heapInUse returns the bytes that are in use on the heap.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestScheduledJobsFitAnOwner guards against an owner that is killed again and again, because the
// tasks of all occurrences of the jobs of its pool need more memory than it has.
func TestScheduledJobsFitAnOwner(t *testing.T) {
	const jobs, times = 24, 5 * 24 * 60
	finished := func(count int) []works.Progress { // of the first occurrences, in rows of all their tasks
		var rows []works.Progress
		for k := range count {
			p := works.Progress{Started: true, Stamp: works.Stamp{Fence: 1, Seq: uint64(k + 1)}}
			for i := range 9 {
				p.Tasks = append(p.Tasks, works.TaskProgress{Occurrence: k, Index: i, Done: true, Run: 5})
			}
			rows = append(rows, p)
		}
		return rows
	}
	cases := map[string]struct {
		first time.Duration // from now
		done  int           // occurrences
		most  int64         // bytes for each job
	}{
		"none is due":                   {10 * time.Minute, 0, 10 << 10},
		"some are due":                  {-10 * time.Minute, 0, 100 << 10},
		"all are due":                   {-times * time.Minute, 0, 2 << 20},
		"most have run":                 {-times * time.Minute, times - 10, 100 << 10},
		"some have run and are not due": {10 * time.Minute, 100, 100 << 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 4, nil)
			before := heapInUse()
			for i := range jobs {
				id := fmt.Sprintf("%016x", i)
				b.AddJob(b.now, scheduledJob(id, b.now.Add(c.first), time.Minute, times, step(9)), 8)
				b.AddProgress(b.now, id, finished(c.done)...)
			}
			b.startTasks()
			grown := heapInUse() - before
			assert.Assert(t, grown < jobs*c.most, "%d jobs need %d KiB", jobs, grown>>10)
			runtime.KeepAlive(b)
		})
	}
}

// occurrenceWorld runs a scheduled job on workers whose tasks end after a while.
type occurrenceWorld struct {
	*harness
	rows   *rowTable
	job    works.Job
	starts map[string][]time.Time
	runs   map[string][]rock.Run
	ends   map[string]time.Time
}

// pass lets time pass. Each task takes the given time.
func (o *occurrenceWorld) pass(t *testing.T, d, runTime time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); o.advance(50 * time.Millisecond) {
		for _, w := range o.registered {
			var ended []rock.End
			var left []rock.Run
			for _, r := range o.runs[w.ID] {
				if o.now.Before(o.ends[r.Task]) {
					left = append(left, r)
				} else {
					ended = append(ended, rock.End{Task: r.Task, Run: r.Run, Reason: rock.EndDone})
				}
			}
			o.runs[w.ID] = left
			o.report(w.ID, left, ended)
		}
		for range 2 {
			for _, order := range o.Decide(o.now) {
				if order.Kind == cell.OrderStart {
					task := order.Start.Task
					o.starts[task] = append(o.starts[task], o.now)
					o.ends[task] = o.now.Add(runTime)
					o.runs[order.Worker.ID] = append(o.runs[order.Worker.ID], running(order)...)
				}
				o.HandleReply(o.now, order, rock.Reply{Clock: o.clock()}, nil)
			}
			for complete := false; !complete; {
				complete = o.rows.store(t, o.harness).Complete()
			}
		}
	}
}

// replaceOwner makes a new owner load the stored rows.
func (o *occurrenceWorld) replaceOwner(t *testing.T) {
	former := o.harness
	o.harness = newHarness(t, len(former.registered), func(s *cell.Settings) { s.Fence = fence + 1 })
	o.now, o.endCount = former.now, former.endCount
	if _, ended := o.rows.outcomes[o.job.ID]; !ended {
		o.AddJob(o.now, o.job, 8)
		o.AddProgress(o.now, o.job.ID, o.rows.rowsOf(o.job.ID)...)
	}
}

// TestOccurrencesRunOnceOnTime guards against occurrences that are started late, early, twice or
// never, because their tasks are made when they are due and dropped once they are done. The rows
// of progress hold tasks of several occurrences.
func TestOccurrencesRunOnceOnTime(t *testing.T) {
	cases := map[string]struct {
		interval time.Duration
		times    int
		first    time.Duration // from now
		steps    []works.Step
		runTime  time.Duration
		// backlog is true if the first occurrences are due before the job is submitted.
		backlog bool
	}{
		"they do not overlap":                 {2 * time.Second, 12, 3 * time.Second, []works.Step{step(5), step(3, 0)}, 300 * time.Millisecond, false},
		"they overlap":                        {500 * time.Millisecond, 30, time.Second, []works.Step{step(4)}, 1200 * time.Millisecond, false},
		"a row holds many occurrences":        {300 * time.Millisecond, 80, 0, []works.Step{step(3)}, 200 * time.Millisecond, false},
		"an occurrence needs several rows":    {8 * time.Second, 3, time.Second, []works.Step{step(150), step(20, 0)}, 100 * time.Millisecond, false},
		"there is one, and it is due later":   {0, 1, 7 * time.Second, []works.Step{step(4)}, 300 * time.Millisecond, false},
		"they are longer apart than the lead": {6500 * time.Millisecond, 3, 6 * time.Second, []works.Step{step(4)}, 300 * time.Millisecond, false},
		"their times have passed":             {time.Minute, 60, -2 * time.Hour, []works.Step{step(90)}, 20 * time.Millisecond, true},
	}
	for name, c := range cases {
		for owners, replaced := range map[string]bool{"one owner": false, "owners are replaced": true} {
			t.Run(name+", "+owners, func(t *testing.T) {
				o := &occurrenceWorld{harness: newHarness(t, 12, nil), rows: newRowTable(), starts: map[string][]time.Time{}, runs: map[string][]rock.Run{}, ends: map[string]time.Time{}}
				o.job = scheduledJob("scheduled", o.now.Add(c.first), c.interval, c.times, c.steps...)
				o.AddJob(o.now, o.job, 8)
				o.pass(t, 200*time.Millisecond, c.runTime)
				for i := 0; i < 60 && o.rows.outcomes["scheduled"] == ""; i++ {
					if replaced && i%3 == 1 {
						o.replaceOwner(t)
					}
					o.pass(t, 900*time.Millisecond, c.runTime)
				}
				assert.Equal(t, o.rows.outcomes["scheduled"], works.Completed, "%s", o.Describe(o.now, "scheduled"))
				for k := range c.times {
					due := o.job.Spec.ScheduledAt(k)
					for i := range c.steps {
						for n := range c.steps[i].Count {
							task := works.TaskName{Job: "scheduled", Occurrence: k, Step: i, Index: n}.String()
							assert.Equal(t, len(o.starts[task]), 1, task)
							assert.Assert(t, !o.starts[task][0].Before(due), "%s starts %v early", task, due.Sub(o.starts[task][0]))
							if late := o.starts[task][0].Sub(due); i == 0 && !c.backlog && c.steps[i].Count < 100 {
								assert.Assert(t, late <= time.Second, "%s starts %v late", task, late)
							}
						}
					}
				}
			})
		}
	}
}

// TestOccurrencesOfAnOlderProgram guards against occurrences that run again: an older program
// stored the progress of all tasks of a job in one row.
func TestOccurrencesOfAnOlderProgram(t *testing.T) {
	b, d := newHarness(t, 8, nil), newRowTable()
	b.AddJob(b.now, scheduledJob("old", b.now.Add(-time.Hour), time.Second, 40, step(10)), 8)
	p := works.Progress{Started: true}
	for k := range 38 { // the last occurrence has begun, and the one before it is missing a task
		for i := range 10 {
			if k != 20 || i != 3 {
				p.Tasks = append(p.Tasks, works.TaskProgress{Occurrence: k, Index: i, Done: true, Run: 3})
			}
		}
	}
	b.AddProgress(b.now, "old", p)
	done := d.runTasks(t, b, 21)
	assert.Equal(t, len(done), 21)
	assert.Assert(t, done["old.20.0.3"] && done["old.38.0.0"] && done["old.39.0.9"], "%v", done)
	assert.Equal(t, d.outcomes["old"], works.Completed)
}

// TestLateEndOfAFinishedOccurrence guards against a task that runs again, or a job that fails,
// because a worker lists an end of an occurrence whose tasks are no longer in memory.
func TestLateEndOfAFinishedOccurrence(t *testing.T) {
	b, d := newHarness(t, 2, nil), newRowTable()
	b.AddJob(b.now, scheduledJob("late", b.now, 2*time.Second, 3, step(2)), 8)
	d.runTasks(t, b, 2)
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.Decide(b.now)
	}
	for _, how := range []rock.EndReason{rock.EndFailed, rock.EndDone, rock.EndLeaseExpired, rock.EndFailed} {
		b.report("w0", nil, []rock.End{{Task: "late.0.0.1", Run: 1, Reason: how}})
	}
	b.report("w1", []rock.Run{{Task: "late.0.0.0", Run: 2, Percent: 100}}, nil)
	for _, o := range b.Decide(b.now) {
		if o.Kind == cell.OrderStart {
			n, err := works.ParseTaskName(o.Start.Task)
			assert.NilError(t, err)
			assert.Assert(t, n.Occurrence > 0, o.Start.Task)
		}
	}
	d.store(t, b)
	assert.Equal(t, d.outcomes["late"], works.State(""))
}
