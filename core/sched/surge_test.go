package sched_test

import (
	"testing"
	"time"

	"bramleyrock/core/place"

	"gotest.tools/v3/assert"
)

// surgeResult is what a run with a surge of pool 0 showed.
type surgeResult struct {
	useful  float64 // useful work of pool 0 out of its slots' time, during the surge
	late    int     // requests of pool 0 that ended after waiting
	refused int
	worst   float64 // greatest ratio of the other pools' p99 wait to no surge
	p99     time.Duration
}

// surge runs a plan with and without the surge.
func surge(seed uint64, change func(p *plan)) surgeResult {
	run := func(with bool) []*tally {
		p := today(seed, with)
		if change != nil {
			change(&p)
		}
		d := newDrive(p)
		d.from, d.to = 10*time.Second, 20*time.Second
		return d.run()
	}
	calm, full := run(false), run(true)
	r := surgeResult{
		useful:  full[0].work.Seconds() / (24 * 10),
		late:    full[0].expired + full[0].failed,
		refused: full[0].refused,
	}
	for i := 1; i < len(calm); i++ {
		// A wait below 1 ms is no delay that a caller could see.
		before, after := max(calm[i].p(0.99), time.Millisecond), max(full[i].p(0.99), time.Millisecond)
		r.worst = max(r.worst, float64(after)/float64(before))
		r.p99 = max(r.p99, after)
	}
	return r
}

func TestSurgeStaysInItsPool(t *testing.T) {
	t.Parallel()
	const seed = 6
	got := surge(seed, nil)
	t.Logf("seed %d: %+v", seed, got)
	assert.Assert(t, got.worst <= 1.2, "other pools' p99 wait grew %.2f times", got.worst)
	assert.Assert(t, got.useful >= 0.95, "useful share of slots %.3f", got.useful)
	assert.Assert(t, got.late <= got.refused/100, "%d ended after waiting, %d at admission", got.late, got.refused)

	shared := surge(seed, baselines["one shared queue"])
	assert.Assert(t, shared.worst > 1.2, "one shared queue: %+v", shared)
	fifo := surge(seed, baselines["plain FIFO"])
	assert.Assert(t, fifo.useful < 0.95, "plain FIFO: %+v", fifo)
}

// baselines are simpler ways to which the scheduler is compared.
var baselines = map[string]func(p *plan){
	"one shared queue":   func(p *plan) { p.shared = true },
	"plain FIFO":         func(p *plan) { p.settings.Queue.FIFO, p.settings.Queue.AdmitAll, p.blind = true, true, true },
	"FIFO, late dropped": func(p *plan) { p.settings.Queue.FIFO, p.settings.Queue.AdmitAll = true, true },
	"random":             func(p *plan) { p.settings.Place.Policy = place.Random },
	"round-robin":        func(p *plan) { p.settings.Place.Policy = place.RoundRobin },
	"least in flight":    func(p *plan) { p.settings.Place.Policy = place.LeastInFlight },
	"two choices":        nil,
}

// BenchmarkSurge measures the surge under each baseline, over three seeds.
func BenchmarkSurge(b *testing.B) {
	for name, change := range baselines {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var sum surgeResult
				for seed := uint64(1); seed <= 3; seed++ {
					r := surge(seed, change)
					sum.useful += r.useful / 3
					sum.late += r.late
					sum.refused += r.refused
					sum.worst = max(sum.worst, r.worst)
					sum.p99 = max(sum.p99, r.p99)
				}
				b.ReportMetric(sum.useful, "useful")
				b.ReportMetric(float64(sum.late), "late")
				b.ReportMetric(float64(sum.refused), "refused")
				b.ReportMetric(sum.worst, "worst_ratio")
				b.ReportMetric(float64(sum.p99.Milliseconds()), "others_p99_ms")
			}
		})
	}
}
