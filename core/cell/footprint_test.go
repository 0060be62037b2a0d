package cell_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestFootprintIsTheMemoryOfJobs guards against a bound of a pool's jobs that an owner does not have
// the memory for, because jobs need more than they count for.
func TestFootprintIsTheMemoryOfJobs(t *testing.T) {
	many := make([]works.Step, 0, works.MaxSteps)
	for range works.MaxSteps {
		many = append(many, step(4))
	}
	cases := map[string]struct {
		steps    []works.Step
		payload  int
		times    int
		interval time.Duration
		first    time.Duration
		jobs     int
	}{
		"large steps":         {steps: []works.Step{step(works.MaxTasks), step(works.MaxTasks, 0)}, jobs: 20},
		"common jobs":         {steps: []works.Step{step(8), step(8, 0)}, jobs: 3000},
		"small jobs":          {steps: []works.Step{step(1)}, jobs: 5000},
		"many steps":          {steps: many, jobs: 200},
		"large payloads":      {steps: []works.Step{step(2)}, payload: works.MaxPayload, jobs: 2000},
		"scheduled, later":    {steps: []works.Step{step(9)}, times: 7200, interval: time.Minute, first: time.Hour, jobs: 2000},
		"scheduled, all late": {steps: []works.Step{step(9)}, times: 7200, interval: time.Minute, first: -7200 * time.Minute, jobs: 10},
		"scheduled, some due": {steps: []works.Step{step(9)}, times: 7200, interval: time.Minute, first: -time.Hour, jobs: 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 0, nil)
			before := heapInUse()
			var expected int64
			for i := range c.jobs {
				id := fmt.Sprintf("%016x", i)
				j := scheduledJob(id, b.now.Add(c.first), c.interval, c.times, c.steps...)
				j.Spec.Payload = strings.Repeat("p", c.payload)
				// The row of the job is decoded into memory of its own.
				data, err := works.EncodeJob(j)
				assert.NilError(t, err)
				j, err = works.DecodeJob(data)
				assert.NilError(t, err)
				b.AddJob(b.now, j, 8)
				expected += cell.Footprint(b.now, &j.Spec)
			}
			held := b.Load(b.now).HeldBytes
			grown := heapInUse() - before
			t.Logf("%d jobs: %d KiB expected, %d KiB held, %d KiB in use, %d bytes a job", c.jobs, expected>>10, held>>10, grown>>10, grown/int64(c.jobs))
			assert.Equal(t, held, expected)
			assert.Assert(t, grown <= expected, "%d KiB in use, %d KiB expected", grown>>10, expected>>10)
			assert.Assert(t, c.first > 0 || grown >= expected/2, "%d KiB in use, %d KiB expected", grown>>10, expected>>10)
			runtime.KeepAlive(b)
		})
	}
}
