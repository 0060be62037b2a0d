package jobs_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/core/lease"
	"bramleyrock/io/jobs"

	"gotest.tools/v3/assert"
)

// BenchmarkHoldJobs measures the platform's load and the processor time of three
// entries with default settings while they hold many running jobs. Run it with
// -benchtime 1x.
func BenchmarkHoldJobs(b *testing.B) {
	const entries, window = 3, 10 * time.Second
	for _, count := range []int{50, 500, 2000} {
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			f := newFleet(b, 50, 48, func(s *jobs.Settings) {
				*s = jobs.Settings{Member: s.Member, Table: s.Table, Target: s.Target, Fleet: s.Fleet, Placer: s.Placer}
			})
			f.submitJobs(b, count)
			for n := range entries {
				f.start(fmt.Sprintf("e%d", n+1))
			}
			begin := time.Now()
			eventually(b, "all jobs", func() bool { return f.running() == count })
			b.ReportMetric(time.Since(begin).Seconds(), "s-to-start-all")
			time.Sleep(window) // until the load is steady
			before, cpu := f.depot.Stats(), processorTime(b)
			time.Sleep(window)
			after := f.depot.Stats()
			perSecond := func(n uint64) float64 { return float64(n) / window.Seconds() }
			b.ReportMetric(perSecond(after.Writes-before.Writes), "writes/s")
			b.ReportMetric(perSecond(after.Reads-before.Reads), "reads/s")
			b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/window.Seconds()/entries, "%core/entry")
			b.ReportMetric(renewalsPerSecond(count), "writes/s-lease-per-job")
			assert.Equal(b, f.running(), count)
		})
	}
}

// submitJobs submits jobs that do not end during the benchmark, through an entry
// that is then stopped.
func (f *fleet) submitJobs(tb testing.TB, count int) {
	tb.Helper()
	e := f.start("submitter")
	for range count {
		e.submit(fmt.Sprintf(jobFormat, false, endlessMS))
	}
	e.stop()
}

// renewalsPerSecond returns the number of lease renewals per second that would
// be needed if each job had its own lease on the same terms.
func renewalsPerSecond(count int) float64 {
	const span = 60 * time.Second
	now := time.Unix(0, 0)
	var terms lease.Terms
	free, err := lease.Parse("job", rock.Row{})
	if err != nil {
		return 0
	}
	writes := 0
	held, _ := terms.Next(now, "e1", free)
	for at := now; at.Before(now.Add(span)); at = at.Add(500 * time.Millisecond) {
		next, action := terms.Next(at, "e1", held)
		if action == lease.Renew {
			writes++
			held = next
		}
	}
	return float64(writes*count) / span.Seconds()
}

func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkNextAction measures the decision on one running job.
func BenchmarkNextAction(b *testing.B) {
	now := time.Unix(0, 0)
	j := job.New(job.Spec{ID: "j1", Pool: "tins"}, now).Claim(now, "e1", "h1")
	s := job.Observation{LastAnswerAt: now, LastCheckpointAt: now}
	b.ReportAllocs()
	for range b.N {
		_ = job.Limits{}.NextAction(now, j, s)
	}
}
