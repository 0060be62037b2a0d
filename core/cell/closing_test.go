package cell_test

import (
	"slices"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// largeStep returns a step that needs most of a worker.
func largeStep(count int) works.Step {
	s := step(count)
	s.Need.MilliCores = 3500
	return s
}

// drain begins to drain some workers, those without runs first.
func (b *harness) drain(count int, runs map[string][]rock.Run) {
	ids := []string{}
	for _, w := range b.registered {
		ids = append(ids, w.ID)
	}
	slices.SortStableFunc(ids, func(x, y string) int { return len(runs[x]) - len(runs[y]) })
	closing := map[string]bool{}
	for _, id := range ids[:count] {
		closing[id] = true
	}
	b.SetClosing(closing)
}

// TestTaskWaitsBesideDrainedWorkers guards against a task that waits although most of
// the pool is free, because the workers with room for it are being drained.
func TestTaskWaitsBesideDrainedWorkers(t *testing.T) {
	cases := map[string]struct {
		workers int
		busy    int
		drained int
		want    bool
	}{
		"the only one with room is drained":    {workers: 4, busy: 1, drained: 3, want: true},
		"all are drained":                      {workers: 3, drained: 3, want: true},
		"most of the pool is in use":           {workers: 4, busy: 3, drained: 1},
		"another worker has room":              {workers: 4, busy: 1, drained: 1, want: true},
		"all are drained and the pool is busy": {workers: 3, busy: 2, drained: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, c.workers, nil)
			runs := map[string][]rock.Run{}
			if c.busy > 0 {
				b.AddJob(b.now, job("busy", largeStep(c.busy)), 9)
				for _, o := range b.startTasks() {
					runs[o.Worker.ID] = running(o)
				}
			}
			assert.Equal(t, len(runs), c.busy)
			b.drain(c.drained, runs)
			b.AddJob(b.now, job("waiting", largeStep(1)), 9)
			started := false
			for end := b.now.Add(3 * time.Second); b.now.Before(end) && !started; b.advance(100 * time.Millisecond) {
				for _, w := range b.registered {
					b.report(w.ID, runs[w.ID], nil)
				}
				started = len(b.startTasks()) > 0
			}
			assert.Equal(t, started, c.want)
		})
	}
}

// TestGangWaitsBesideDrainedWorkers guards against a gang that waits although most of the
// pool is free, because some of the workers with room for it are being drained.
func TestGangWaitsBesideDrainedWorkers(t *testing.T) {
	cases := map[string]struct {
		busy, drained int
		want          int
	}{
		"none is drained":          {want: 2},
		"one is left":              {drained: 4, want: 2},
		"all are drained":          {drained: 5, want: 2},
		"two are left":             {drained: 3, want: 2},
		"most of the pool is busy": {busy: 3, drained: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 5, nil)
			runs := map[string][]rock.Run{}
			if c.busy > 0 {
				b.AddJob(b.now, job("busy", largeStep(c.busy)), 9)
				runs = liveRuns(b.startTasks())
			}
			assert.Equal(t, len(runs), c.busy)
			b.drain(c.drained, runs)
			gang := largeStep(2)
			gang.Gang = true
			b.AddJob(b.now, job("waiting", gang), 9)
			started := 0
			for end := b.now.Add(3 * time.Second); b.now.Before(end) && started == 0; b.advance(100 * time.Millisecond) {
				for _, w := range b.registered {
					b.report(w.ID, runs[w.ID], nil)
				}
				started = len(b.startTasks())
			}
			assert.Equal(t, started, c.want)
		})
	}
}

// TestPlatformDrainCountsBeforeOwnDrain guards against more tasks of a step away than may
// be, because one was stopped for a drain of the owner just before those on a worker that
// the platform drains.
func TestPlatformDrainCountsBeforeOwnDrain(t *testing.T) {
	for range 20 { // the order of workers is random
		b := newHarness(t, 3, nil)
		b.AddJob(b.now, job("a", persistentStep(2, 1, 1000)), 9)
		s := b.startTasks()
		assert.Equal(t, len(s), 2)
		for i := range b.registered {
			if b.registered[i].ID == s[0].Worker.ID {
				b.registered[i].State = rock.WorkerDraining
			}
		}
		b.SetWorkers(b.now, b.registered)
		b.SetClosing(map[string]bool{s[1].Worker.ID: true})
		b.advance(time.Second)
		for _, w := range b.registered {
			var runs []rock.Run
			for _, o := range s {
				if o.Worker.ID == w.ID {
					runs = running(o)
				}
			}
			b.report(w.ID, runs, nil)
		}
		var stopped []string
		for range 2 {
			for _, o := range b.Decide(b.now) {
				if o.Kind == cell.OrderStop {
					stopped = append(stopped, o.Worker.ID)
				}
			}
		}
		assert.DeepEqual(t, stopped, []string{s[0].Worker.ID})
	}
}

// TestNothingStartsOnAWorkerThatBeganToDrain guards against tasks that start on a worker
// which the platform drains, because their placements were stored late.
func TestNothingStartsOnAWorkerThatBeganToDrain(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job(jobID, step(1)), 9)
	b.Decide(b.now)
	batch := b.Flush(b.now)
	b.registered[0].State = rock.WorkerDraining
	b.SetWorkers(b.now, b.registered)
	b.registered = append(b.registered, b.registered[0])
	b.registered[1].ID, b.registered[1].State = "w1", rock.WorkerReady
	b.advance(3 * time.Second)
	b.Flushed(b.now, batch)
	b.SetWorkers(b.now, b.registered)
	b.report("w0", nil, nil)
	b.report("w1", nil, nil)
	b.flush()
	starts := b.startTasks()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, "w1")
}

// TestTaskWaitsForFailedTakeDowns guards against a task that waits for good, because orders
// for the host of the only worker are sent again and again and never carried out.
func TestTaskWaitsForFailedTakeDowns(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.drain(1, nil)
	b.AddJob(b.now, job(jobID, step(1)), 9)
	began := 0
	for end := b.now.Add(10 * time.Second); b.now.Before(end); b.advance(50 * time.Millisecond) {
		b.report("w0", nil, nil)
		seen := b.Occupancy(b.now, "w0")
		if seen.Runs == 0 && !seen.Usable && b.BeginTakeDown(b.now, b.now.Add(3*time.Second), "w0", seen) {
			began++
		}
		if len(b.startTasks()) > 0 {
			assert.Equal(t, began, 1)
			assert.Assert(t, b.now.Sub(start) >= 3*time.Second)
			return
		}
	}
	t.Errorf("the task waits, %d take-downs\n%s", began, b.Describe(b.now, jobID))
}

// TestTakeDownOfAWorkerThatGotATask guards against the loss of a task that was placed on an
// empty worker just before its host is taken down.
func TestTakeDownOfAWorkerThatGotATask(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.drain(1, nil)
	seen := b.Occupancy(b.now, "w0")
	assert.DeepEqual(t, seen, cell.Occupancy{Known: true})
	b.AddJob(b.now, job(jobID, persistentStep(1, 0, 1000)), 9)
	b.advance(1300 * time.Millisecond)
	b.report("w0", nil, nil)
	b.Decide(b.now)
	assert.Assert(t, !b.BeginTakeDown(b.now, b.now.Add(time.Second), "w0", seen))
	assert.Equal(t, len(b.startTasks()), 1)
}

// TestTakeDownCancelsPlacements guards against a start on a worker whose host is taken down
// although tasks run there.
func TestTakeDownCancelsPlacements(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.drain(1, nil)
	b.AddJob(b.now, job(jobID, step(2)), 9)
	b.advance(1300 * time.Millisecond)
	b.report("w0", nil, nil)
	b.Decide(b.now)
	b.flush()
	seen := b.Occupancy(b.now, "w0")
	assert.Equal(t, seen.Runs, 2)
	assert.Assert(t, b.BeginTakeDown(b.now, b.now.Add(time.Second), "w0", seen))
	assert.Equal(t, len(b.startTasks()), 0)
	b.EndTakeDown("w0")
	assert.Equal(t, len(b.startTasks()), 2)
}
