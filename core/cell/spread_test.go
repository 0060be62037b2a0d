package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestRequiredCoresCoverTasksThatFitNowhere guards against hosts that leave the pool
// although tasks then find no worker, while the free capacity exceeds their need.
func TestRequiredCoresCoverTasksThatFitNowhere(t *testing.T) {
	labelled := persistentStep(9, 1, 1000)
	labelled.Label = "unknown"
	cases := map[string]struct {
		jobs    []works.Step
		drained int
		least   float64
		atMost  float64
	}{
		"persistent tasks, one a worker":         {jobs: []works.Step{persistentStep(6, 1, 1000)}, least: 24, atMost: 24},
		"persistent tasks, two a worker":         {jobs: []works.Step{persistentStep(6, 2, 1000)}, least: 12, atMost: 12},
		"persistent tasks, any number":           {jobs: []works.Step{persistentStep(6, 0, 1000)}, least: 6, atMost: 6},
		"no worker has the label":                {jobs: []works.Step{labelled}, least: 9, atMost: 9},
		"a task that fits on no worker":          {jobs: []works.Step{persistentStep(4, 0, 3000), largeStep(1)}, least: 20, atMost: 20},
		"a task that fits only on drained ones":  {jobs: []works.Step{persistentStep(2, 0, 3000), largeStep(1)}, drained: 2, least: 12, atMost: 12},
		"a task that will find room on a worker": {jobs: []works.Step{persistentStep(3, 0, 1000), step(1)}, least: 3, atMost: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 4, nil)
			runs := map[string][]rock.Run{}
			for i, s := range c.jobs {
				b.AddJob(b.now, job(string(rune('a'+i)), s), 1)
				for _, o := range b.startTasks() {
					runs[o.Worker.ID] = append(runs[o.Worker.ID], running(o)...)
				}
				if i == 0 {
					b.drain(c.drained, runs)
				}
			}
			var l cell.Load
			for range 25 {
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered {
					b.report(w.ID, runs[w.ID], nil)
				}
				l = b.Load(b.now)
			}
			assert.Assert(t, l.RequiredCores >= c.least && l.RequiredCores <= c.atMost && l.RetainedCores >= l.RequiredCores, "%+v", l)
			if c.least >= 12 {
				assert.Equal(t, l.MinCores, c.least)
			}
		})
	}
}
