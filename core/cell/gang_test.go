package cell_test

import (
	"testing"

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
