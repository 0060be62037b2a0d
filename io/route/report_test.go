package route_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleyrock/io/fakes/work"
	"bramleyrock/io/route"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestPoolsAreReported checks the gauges of a pool with an ejected host and the
// histogram of its queue waits.
func TestPoolsAreReported(t *testing.T) {
	t.Parallel()
	scope := tally.NewTestScope("", nil)
	b := newFixture(t, 3, func(s *route.Settings) { s.Scope = scope })
	b.work.Worker("h0").SetFaults(work.Faults{CutShort: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i := range 20 {
			_, _ = b.engine.Do(context.Background(), request(fmt.Sprint("r", i), true, 10*time.Second, 0))
		}
		gauges := scope.Snapshot().Gauges()
		if g, ok := gauges["ejected_hosts+pool=tins"]; !ok || g.Value() != 1 {
			return poll.Continue("gauges %v", gauges)
		}
		assert.Equal(t, gauges["slots+pool=tins"].Value(), float64(12))
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	waits := 0
	for name := range scope.Snapshot().Histograms() {
		if strings.HasPrefix(name, "queue_wait") {
			waits++
		}
	}
	assert.Equal(t, waits, 1)
}
