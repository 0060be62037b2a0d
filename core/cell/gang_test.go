package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"

	"gotest.tools/v3/assert"
)

// TestGangKeepsMaxPerWorker guards against more tasks of a gang on a worker than may run
// there.
func TestGangKeepsMaxPerWorker(t *testing.T) {
	for name, workers := range map[string]int{"enough workers": 3, "too few workers": 2} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, workers, nil)
			gang := spreadStep(3, 1000)
			gang.Gang = true
			b.AddJob(b.now, job("a", gang), 9)
			used := map[string]bool{}
			for _, o := range b.startTasks() {
				used[o.Worker.ID] = true
			}
			assert.Equal(t, len(used) == 3, workers == 3, "%v", used)
			assert.Assert(t, len(used) == 0 || len(used) == 3)
		})
	}
}

// TestGangWaitsBesideDrainedWorkers guards against a gang that waits although most of the
// pool is free, because some of the workers with room for it are being drained.
func TestGangWaitsBesideDrainedWorkers(t *testing.T) {
	b := newHarness(t, 4, nil)
	b.drain(2, nil)
	gang := largeStep(3)
	gang.Gang = true
	b.AddJob(b.now, job("a", gang), 9)
	assert.Assert(t, b.startsWithin(2500*time.Millisecond, "a", map[string][]rock.Run{}))
}
