package cell_test

import (
	"errors"
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
				assert.Equal(t, 4*float64(l.MinHosts), c.least)
			}
		})
	}
}

// TestRequiredCoresCoverGangs guards against a gang that waits for good in a pool that was made
// small, because the sum of what its tasks need asks for fewer hosts than they must run on.
// A gang that all hosts together cannot run must not draw hosts.
func TestRequiredCoresCoverGangs(t *testing.T) {
	gang := func(count, maxPerWorker int, milliCores int64) works.Step {
		s := step(count)
		s.Gang, s.MaxPerWorker, s.Need.MilliCores = true, maxPerWorker, milliCores
		return s
	}
	labelled := gang(9, 1, 1000)
	labelled.Label = "unknown"
	cases := map[string]struct {
		step  works.Step
		total int // hosts of all pools
		hosts int
	}{
		"one a worker":             {gang(6, 1, 1000), 20, 6},
		"two a worker":             {gang(6, 2, 1000), 20, 3},
		"two fit on a worker":      {gang(9, 0, 1500), 20, 5},
		"as many hosts as exist":   {gang(20, 1, 1000), 20, 20},
		"more hosts than exist":    {gang(21, 1, 1000), 20, 0},
		"fits on no worker":        {gang(6, 1, 9000), 20, 0},
		"no worker has the label":  {labelled, 20, 0},
		"the hosts are not listed": {gang(6, 1, 1000), 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 4, nil) // of four cores each
			b.SetHostTotal(c.total)
			b.AddJob(b.now, job("a", c.step), 1)
			l := b.Load(b.now)
			assert.Equal(t, l.MinHosts, c.hosts)
			assert.Assert(t, l.RequiredCores >= 4*float64(c.hosts) && l.RetainedCores >= l.RequiredCores, "%+v", l)
		})
	}
}

// TestRequiredCoresCoverTasksBesideWorkersOutOfService guards against a task that waits for
// as long as a worker does not answer or is drained by the platform, because the free
// capacity there exceeds its need.
func TestRequiredCoresCoverTasksBesideWorkersOutOfService(t *testing.T) {
	cases := map[string]func(b *harness){
		"it does not answer":     func(b *harness) { b.HandleUnanswered(b.now, b.now, "w0", true, errors.New("no answer")) },
		"the platform drains it": func(b *harness) { b.registered[0].State = rock.WorkerDraining },
		"it is not registered":   func(b *harness) { b.registered = b.registered[1:] },
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 3, nil)
			arrange(b)
			b.SetWorkers(b.now, b.registered)
			b.AddJob(b.now, job("busy", persistentStep(2, 1, 3000)), 1)
			runs := liveRuns(b.startTasks())
			assert.Equal(t, len(runs), 2)
			hosts := float64(len(b.registered))
			b.AddJob(b.now, job("waiting", largeStep(1)), 1)
			for range 25 {
				b.advance(100 * time.Millisecond)
				for id, live := range runs {
					b.report(id, live, nil)
				}
				assert.Equal(t, len(b.startTasks()), 0)
			}
			assert.Equal(t, b.Load(b.now).RequiredCores, 4*(hosts+1))
		})
	}
}
