package trial

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/trace"
)

// forceLimit is the stated time within which a change is in force.
const forceLimit = 10 * time.Second

// Report is what a trial measured.
type Report struct {
	// Deployment and Seed say what was run.
	Deployment Deployment `json:"deployment"`
	Seed       uint64     `json:"seed"`
	// Pools are the readings by pool.
	Pools []PoolReport `json:"pools"`
	// ForceMS is the time from the acceptance of a change until it was in
	// force at every entry, in milliseconds.
	ForceMS float64 `json:"force_ms"`
	// MoveMS is the time that one host's move took, in milliseconds.
	MoveMS float64 `json:"move_ms"`
	// WaveMS is the time that a wave over one pool took, in milliseconds.
	WaveMS float64 `json:"wave_ms"`
	// PlatformReads and PlatformWrites are the rates of all entries together,
	// by second.
	PlatformReads  float64 `json:"platform_reads_per_second"`
	PlatformWrites float64 `json:"platform_writes_per_second"`
	// Outcomes are the stated outcomes that were judged.
	Outcomes []string `json:"outcomes"`
	// Broken are the outcomes that did not hold.
	Broken []string `json:"broken"`

	events *trace.Log
}

// Trace returns the events of the trial.
func (r Report) Trace() *trace.Log { return r.events }

// outcomes are the outcomes by which a trial's trace is judged.
var outcomes = []string{
	"whole_answers", "not_run_true", "at_most_once", "leaving_left_alone", "nothing_cut",
	"one_pool_per_host", "budget_holds", "in_force_within", "never_older",
}

// report sums up the trial.
func (l *load) report(s *script, log *trace.Log, failed error) Report {
	r := Report{
		Deployment: l.site.settings.Deployment,
		Seed:       l.site.settings.Seed,
		MoveMS:     milliseconds(s.move),
		WaveMS:     milliseconds(s.wave),
		Outcomes:   outcomes,
		Broken:     []string{},
		events:     log,
	}
	if len(s.force) > 0 {
		r.ForceMS = milliseconds(slices.Max(s.force))
	}
	for i, pool := range l.site.shape.pools {
		p := l.poolReport(pool)
		p.Surged = i == 0
		r.Pools = append(r.Pools, p)
	}
	r.judge(log, failed)
	return r
}

// judge adds what did not hold.
func (r *Report) judge(log *trace.Log, failed error) {
	if failed != nil {
		r.Broken = append(r.Broken, failed.Error())
	}
	if r.ForceMS > milliseconds(forceLimit) {
		r.Broken = append(r.Broken, fmt.Sprintf("a change was in force after %.0f ms, want at most %v", r.ForceMS, forceLimit))
	}
	chosen, err := trace.Select(r.Outcomes...)
	if err != nil {
		r.Broken = append(r.Broken, err.Error())
		return
	}
	for _, v := range trace.Check(log.Events(), chosen) {
		r.Broken = append(r.Broken, v.String())
	}
}

// poolReport sums up the samples of one pool.
func (l *load) poolReport(pool string) PoolReport {
	p := PoolReport{Pool: pool}
	var delays []time.Duration
	for _, s := range l.samples {
		if s.pool != pool {
			continue
		}
		switch s.verdict {
		case rock.Ran:
			p.Served++
			delays = append(delays, s.delay)
		case rock.NotRun:
			p.NotRun++
		case rock.MayHaveRun:
			p.MayHaveRun++
		}
	}
	slices.Sort(delays)
	p.DelayP50MS = milliseconds(percentile(delays, 0.5))
	p.DelayP99MS = milliseconds(percentile(delays, 0.99))
	return p
}

// percentile returns the value below which the share of the sorted values
// lies.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
