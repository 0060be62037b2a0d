package jobs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

// TestJobsUnderRandomFaults kills, stops, freezes and thaws entries and loses
// answers of the platform, while jobs are submitted and cancelled. It guards
// against jobs that never end, tasks of non-idempotent jobs that run twice, and
// wrong verdicts.
func TestJobsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	const (
		jobCount = 40
		// maxUnsettled bounds the jobs that end as unsettled. While all targets
		// are up, only a job whose holder was killed between its claim and the
		// start of its task may do so.
		maxUnsettled = 4
	)
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			source := rand.New(rand.NewPCG(seed, seed))
			f := newFleet(t, 3, 6, nil)
			entries := []*entry{f.start("e1"), f.start("e2"), f.start("e3")}
			stable := f.start("e9") // serves the callers and gets no faults
			var ids []string
			cancelled := map[string]bool{}
			for n := range jobCount {
				ids = append(ids, stable.submit(fmt.Sprintf(jobFormat, n%2 == 0, 200+source.IntN(1200))))
				injectFault(f, source, entries, fmt.Sprintf("e%d", n+10))
				if n%10 == 9 {
					stable.call("DELETE", "/v1/jobs/"+ids[n-2], "alpha-token", "", nil)
					cancelled[ids[n-2]] = true
				}
				time.Sleep(time.Duration(source.IntN(60)) * time.Millisecond) // between two submissions
			}
			f.depot.SetFaults(depot.Faults{})
			for _, e := range entries {
				e.gate.thaw()
			}
			counts := map[job.State]int{}
			for n, id := range ids {
				got := stable.await(id, job.Done, job.Unsettled, job.Cancelled)
				counts[got.State]++
				idempotent := n%2 == 0
				runs := f.runs(id)
				if !idempotent {
					assert.Assert(t, runs <= 1, "job %s ran %d times", id, runs)
				}
				if got.Verdict == rock.NotRun {
					assert.Equal(t, runs, 0, "job %s", id)
				}
				if idempotent && !cancelled[id] {
					assert.Equal(t, got.State, job.Done, "job %s", id)
				}
			}
			t.Logf("%v", counts)
			assert.Assert(t, counts[job.Unsettled] <= maxUnsettled, "%v", counts)
			eventually(t, "free targets", func() bool { return f.running() == 0 })
		})
	}
}

// injectFault injects or ends a fault of a random entry or of the platform, or
// does nothing. The name is that of the entry that replaces a stopped one.
func injectFault(f *fleet, source *rand.Rand, entries []*entry, name string) {
	n := source.IntN(len(entries))
	e := entries[n]
	switch source.IntN(10) {
	case 0:
		e.kill()
		entries[n] = f.start(name)
	case 1:
		e.gate.thaw()
		e.stop()
		entries[n] = f.start(name)
	case 2, 3:
		e.gate.freeze()
	case 4, 5:
		e.gate.thaw()
	case 6:
		f.depot.SetFaults(depot.Faults{LoseShare: 0.3})
	case 7:
		f.depot.SetFaults(depot.Faults{})
	}
}
