package cell_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestGangKeepsMaxPerWorker guards against more tasks of a gang on a worker than its step
// allows.
func TestGangKeepsMaxPerWorker(t *testing.T) {
	cases := map[string]struct {
		workers, maxPerWorker int
		starts                int
	}{
		"no limit":          {1, 0, 4},
		"limit of one":      {4, 1, 4},
		"limit of two":      {2, 2, 4},
		"too few workers":   {3, 1, 0},
		"too many a worker": {1, 2, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, c.workers, nil)
			s := step(4)
			s.Gang, s.MaxPerWorker = true, c.maxPerWorker
			b.AddJob(b.now, job(jobID, s), 9)
			starts := b.startTasks()
			assert.Equal(t, len(starts), c.starts)
			for id, runs := range liveRuns(starts) {
				assert.Assert(t, c.maxPerWorker == 0 || len(runs) <= c.maxPerWorker, "worker %s runs %d", id, len(runs))
			}
		})
	}
}
