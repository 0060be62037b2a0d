package cell_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// startsWithin reports whether the cell starts a task of the job within the given time.
// The runs on the workers go on.
func (b *harness) startsWithin(d time.Duration, id string, runs map[string][]rock.Run) bool {
	for end := b.now.Add(d); b.now.Before(end); b.advance(100 * time.Millisecond) {
		for _, w := range b.registered {
			b.report(w.ID, runs[w.ID], nil)
		}
		started := false
		for _, o := range b.startTasks() {
			runs[o.Worker.ID] = append(runs[o.Worker.ID], running(o)...)
			started = started || o.Job == id
		}
		if started {
			return true
		}
	}
	return false
}

// TestTaskWaitsBesideReservedWorkers guards against a task that waits although most of
// the pool is free, because the workers with room for it are reserved for persistent tasks.
func TestTaskWaitsBesideReservedWorkers(t *testing.T) {
	cases := map[string]struct {
		beside works.Step // fills a part of each worker
		want   bool
	}{
		"persistent tasks never make room":      {beside: persistentStep(3, 1, 1000), want: true},
		"ordinary tasks do not make room":       {beside: spreadStep(3, 1000), want: true},
		"most of the pool is in use":            {beside: spreadStep(3, 2000)},
		"persistent tasks use most of the pool": {beside: persistentStep(3, 1, 2000), want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 3, nil)
			runs := map[string][]rock.Run{}
			b.AddJob(b.now, job("beside", c.beside), 9)
			assert.Assert(t, b.startsWithin(time.Second, "beside", runs))
			for i := range 3 {
				b.AddJob(b.now, job(fmt.Sprint("lasting", i), persistentStep(1, 0, 3500)), 9)
			}
			s := step(1)
			s.Need.MilliCores = 2000
			b.AddJob(b.now, job("waiting", s), 9)
			assert.Equal(t, b.startsWithin(2500*time.Millisecond, "waiting", runs), c.want)
		})
	}
}

// spreadStep returns an ordinary step with a task on each worker.
func spreadStep(count int, milliCores int64) works.Step {
	s := persistentStep(count, 1, milliCores)
	s.Persistent, s.MaxUnavailable, s.Estimate = false, 0, time.Second
	return s
}

// TestTaskWaitsBesideEjectedWorkers guards against a task that waits although most of the
// pool is free, because the worker with room for it is ejected.
func TestTaskWaitsBesideEjectedWorkers(t *testing.T) {
	b := newHarness(t, 3, nil)
	runs := map[string][]rock.Run{}
	b.ejectWorker("w0", runs)
	b.AddJob(b.now, job("lasting", persistentStep(2, 1, 1500)), 9)
	assert.Assert(t, b.startsWithin(time.Second, "lasting", runs))
	assert.Equal(t, len(runs["w0"]), 0)
	b.AddJob(b.now, job("waiting", largeStep(2)), 9)
	assert.Assert(t, b.startsWithin(2500*time.Millisecond, "waiting", runs))
	assert.Equal(t, len(runs["w0"]), 1, "an ejected worker gets one task at a time")
	assert.Assert(t, !b.startsWithin(500*time.Millisecond, "waiting", runs))
}

// TestGangIsTriedOnAnEjectedWorker guards against a gang that waits for good although most of the
// pool is free, because only an ejected worker may run it, which got one task at a time.
func TestGangIsTriedOnAnEjectedWorker(t *testing.T) {
	b := newHarness(t, 3, nil)
	runs := map[string][]rock.Run{}
	b.ejectWorker("w0", runs)
	b.registered[0].Labels = []string{"special", "r1"}
	b.SetWorkers(b.now, b.registered)
	gang := step(2)
	gang.Gang, gang.Label = true, "special"
	b.AddJob(b.now, job("gang", gang), 9)
	b.AddJob(b.now, job("other", gang), 9)
	assert.Assert(t, b.startsWithin(2500*time.Millisecond, "gang", runs))
	assert.Equal(t, len(runs["w0"]), 2, "all tasks of the gang")
	assert.Assert(t, !b.startsWithin(500*time.Millisecond, "other", runs), "an ejected worker gets one gang at a time")
}

// TestLastAttemptHidesNoOtherTask guards against tasks that wait for good, because the first task
// of their step has one attempt left and is therefore not tried on the ejected worker that may run
// them.
func TestLastAttemptHidesNoOtherTask(t *testing.T) {
	b := newHarness(t, 3, nil)
	runs := map[string][]rock.Run{}
	b.ejectWorker("w0", runs)
	b.registered[0].Labels = []string{"special", "r1"}
	b.SetWorkers(b.now, b.registered)
	s := step(2)
	s.Label = "special"
	b.AddJob(b.now, job("waiting", s), 9)
	b.AddProgress(b.now, "waiting", works.Progress{Started: true, Tasks: []works.TaskProgress{{Failed: []int64{5}, Run: 5}}})
	assert.Assert(t, b.startsWithin(2500*time.Millisecond, "waiting", runs))
	assert.Equal(t, runs["w0"][0].Task, "waiting.0.0.1")
}

// TestEjectedWorkerFailsNoJob guards against a job that fails because its task was tried
// on the same ejected worker until no attempt was left.
func TestEjectedWorkerFailsNoJob(t *testing.T) {
	b := newHarness(t, 3, nil)
	runs := map[string][]rock.Run{}
	b.ejectWorker("w0", runs)
	b.AddJob(b.now, job("lasting", persistentStep(2, 1, 1500)), 9)
	assert.Assert(t, b.startsWithin(time.Second, "lasting", runs))
	b.AddJob(b.now, job("waiting", largeStep(1)), 9)
	for tries := 0; b.startsWithin(2200*time.Millisecond, "waiting", runs); tries++ {
		assert.Equal(t, tries, 0, "the task is tried again")
		var ended []rock.End
		for _, r := range runs["w0"] {
			ended = append(ended, rock.End{Task: r.Task, Run: r.Run, Reason: rock.EndFailed})
		}
		assert.Equal(t, len(ended), 1)
		runs["w0"] = nil
		b.report("w0", nil, ended)
	}
	b.flush()
	assert.Equal(t, b.outcomes["waiting"], works.State(""))
}
