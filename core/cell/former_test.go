package cell_test

import (
	"testing"
	"time"

	"bramleyrock/core/cell"

	"gotest.tools/v3/assert"
)

// TestWorkerThatLeftIsNotUsedByTheNextOwner guards against a worker that is in use again
// after its owner was restarted. Only a stored row of the former owner names it.
func TestWorkerThatLeftIsNotUsedByTheNextOwner(t *testing.T) {
	b := newHarness(t, 1, func(s *cell.Settings) {
		s.FormerWorkers = map[string]time.Time{"left": {}}
		s.FormerLeasesEndAt = start.Add(5 * time.Second)
	})
	for range 100 {
		b.AddJob(b.now, job(b.now.String(), step(4)), 9)
		for _, o := range b.startTasks() {
			assert.Equal(t, o.Worker.ID, "w0")
		}
		_, polled := b.Workers()["left"]
		assert.Assert(t, !polled)
		b.advance(100 * time.Millisecond)
		b.report("w0", nil, nil)
	}
	assert.Assert(t, !b.workerRows["left"], "its row is kept after its leases have ended")
}
