package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// failNext starts the waiting task of a job and ends its run as failed. It returns false if the
// task is not started within a second.
func (b *harness) failNext() bool {
	for range 10 {
		for _, o := range b.startTasks() {
			b.report(o.Worker.ID, nil, []rock.End{end(o, rock.EndFailed)})
			b.flush()
			return true
		}
		b.advance(100 * time.Millisecond)
		for _, w := range b.registered {
			b.report(w.ID, nil, nil)
		}
	}
	return false
}

// TestAttemptsOfARemovedQueueCount guards against a job that is failed before its task has used
// up its attempts, or whose task is started once more, because the queue was removed from the
// configuration and a new owner read the job.
func TestAttemptsOfARemovedQueueCount(t *testing.T) {
	queue := func(attempts int) []works.Queue {
		return []works.Queue{{Name: "q", Pool: "tins", Attempts: attempts, Stretch: 1.6, Objective: time.Second}}
	}
	single, gang := step(1), step(2)
	gang.Gang = true
	cases := map[string]struct {
		removed []works.Queue // queues whose last configuration is known
		starts  int           // starts of a task that always fails
		state   works.State   // after them
		// back holds the queues that are configured then.
		back       []works.Queue
		moreStarts int
		lastState  works.State
	}{
		"its last configuration is known": {queue(4), 4, works.Failed, queue(4), 0, works.Failed},
		"it is not known":                 {nil, 1, "", queue(4), 3, works.Failed},
		"it is not known, one attempt":    {nil, 1, "", queue(1), 0, works.Failed},
		"it stays unknown":                {nil, 1, "", nil, 0, ""},
	}
	for name, c := range cases {
		for kind, s := range map[string]works.Step{"task": single, "gang": gang} {
			t.Run(name+", "+kind, func(t *testing.T) {
				b := newHarness(t, 4, nil)
				b.SetQueues(nil, c.removed...)
				b.AddJob(b.now, job("a", s), 9)
				b.AddProgress(b.now, "a", works.Progress{Started: true})
				starts := 0
				for b.failNext() {
					starts++
				}
				assert.Equal(t, starts, c.starts)
				assert.Equal(t, b.outcomes["a"], c.state)
				b.SetQueues(c.back, c.removed...)
				for starts = 0; b.failNext(); {
					starts++
				}
				b.flush()
				assert.Equal(t, starts, c.moreStarts)
				assert.Equal(t, b.outcomes["a"], c.lastState)
			})
		}
	}
}

// TestFailuresBeforeTheQueueWasKnownCount guards against a task that is started beyond its
// attempts: a former owner, which did not know the number of attempts, stored its failures.
func TestFailuresBeforeTheQueueWasKnownCount(t *testing.T) {
	for failures, state := range map[int]works.State{1: "", 2: works.Failed, 3: works.Failed} {
		b := newHarness(t, 2, nil) // two attempts
		b.AddJob(b.now, job("a", step(1)), 9)
		b.AddProgress(b.now, "a", works.Progress{Started: true, Tasks: []works.TaskProgress{{Failed: []int64{5, 6, 7}[:failures], Run: 7}}})
		b.flush()
		assert.Equal(t, b.outcomes["a"], state, "%d failures", failures)
	}
}

// TestTaskThatAwaitsItsQueueSaysSo guards against a wait without a cause in the logs.
func TestTaskThatAwaitsItsQueueSaysSo(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.SetQueues(nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	assert.Assert(t, b.failNext() && !b.failNext())
	b.advance(time.Second)
	r := b.Waiting(b.now, cell.WaitQuery{Longer: 500 * time.Millisecond, MaxJobs: 1})
	assert.Equal(t, len(r.Waiting), 1)
	assert.Equal(t, r.Waiting[0].Cause, cell.WaitQueueConfig)
}
