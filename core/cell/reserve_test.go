package cell_test

import (
	"testing"
	"time"

	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestWorkersAreNotReservedInVain guards against a task that waits for good beside a worker
// that is kept free for a persistent task which can never run there.
func TestWorkersAreNotReservedInVain(t *testing.T) {
	huge := persistentStep(1, 0, 1000)
	huge.Need.MemoryMB = 9000
	cases := map[string]struct {
		running, waiting works.Step
	}{
		"the worker has too few cores":      {persistentStep(1, 0, 1000), persistentStep(1, 0, 5000)},
		"the worker has too little memory":  {persistentStep(1, 0, 1000), huge},
		"persistent tasks leave too little": {persistentStep(1, 0, 2000), persistentStep(1, 0, 3000)},
		"the step has its tasks there":      {persistentStep(1, 0, 1000), persistentStep(2, 1, 1000)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.AddJob(b.now, job("running", c.running), 1)
			b.AddJob(b.now, job("waiting", c.waiting), 2)
			live := liveRuns(b.startTasks())
			assert.Assert(t, len(live["w0"]) > 0)
			b.AddJob(b.now, job(jobID, step(1)), 3)
			for range 50 {
				b.advance(100 * time.Millisecond)
				b.report("w0", live["w0"], nil)
				for _, o := range b.startTasks() {
					if o.Job == jobID {
						return
					}
				}
			}
			t.Errorf("the task waits\n%s", b.Describe(b.now, jobID))
		})
	}
}
