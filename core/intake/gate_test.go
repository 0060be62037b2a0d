package intake_test

import (
	"testing"
	"time"

	"bramleyrock/core/intake"

	"gotest.tools/v3/assert"
)

// TestGate guards against a pool whose jobs need more memory than its owner has, and against jobs
// that are rejected although there is room for them.
func TestGate(t *testing.T) {
	const mb = 1 << 20
	cases := map[string]struct {
		held     int64 // in the last renewal
		before   []int64
		job      int64
		workLeft time.Duration
		ok       bool
		retry    time.Duration
	}{
		"the pool is empty":                       {job: mb, ok: true},
		"one job takes all":                       {job: 32 * mb, ok: true},
		"a job is larger than that":               {job: 33 * mb, retry: time.Second},
		"many small ones":                         {before: []int64{mb, mb, mb}, job: mb, ok: true},
		"others may accept jobs, too":             {before: []int64{3 * mb}, job: 2 * mb, retry: time.Second},
		"the room is used up":                     {held: 32 * mb, job: mb, workLeft: 2 * time.Minute, retry: 3750 * time.Millisecond},
		"little is left and it is enough":         {held: 31 * mb, job: mb, ok: true},
		"the pool has more than it may":           {held: 64 * mb, job: mb, workLeft: time.Minute, retry: 30 * time.Second},
		"the room is free soon":                   {held: 32 * mb, job: 1000, workLeft: time.Minute, retry: time.Second},
		"nothing is known of the work":            {held: 32 * mb, job: mb, retry: time.Second},
		"the last renewal may not tell of a job":  {held: 30 * mb, before: []int64{mb, -1}, job: mb, retry: time.Second},
		"two renewals later it counts as told of": {held: 30 * mb, before: []int64{mb, -1, -1}, job: 2 * mb, ok: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var g intake.Gate
			g.Observe(c.held)
			for _, bytes := range c.before {
				if bytes < 0 { // a renewal
					g.Observe(c.held)
					continue
				}
				_, ok := g.Admit(bytes, c.workLeft)
				assert.Assert(t, ok)
			}
			retry, ok := g.Admit(c.job, c.workLeft)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, retry.Round(time.Millisecond), c.retry)
		})
	}
}

// TestGatesOfManyEntries guards against entries that together accept far more than a pool may hold
// before the next renewal, and against a pool that is not filled.
func TestGatesOfManyEntries(t *testing.T) {
	const entries, job = 40, 64 << 10
	gates := make([]intake.Gate, entries)
	held := int64(0)
	for range 200 { // renewals
		for i := range gates {
			gates[i].Observe(held)
		}
		for range 10 {
			for i := range gates {
				if _, ok := gates[i].Admit(job, time.Minute); ok {
					held += job
				}
			}
		}
	}
	assert.Assert(t, held >= intake.MaxHeldBytes*9/10, "%d bytes", held)
	assert.Assert(t, held <= intake.MaxHeldBytes*3/2, "%d bytes", held)
}
