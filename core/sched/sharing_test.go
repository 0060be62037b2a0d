package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyrock/core/place"
)

// BenchmarkSharing measures the ways in which two and three entries of a zone
// share its hosts, at several loads, over three seeds.
func BenchmarkSharing(b *testing.B) {
	ways := map[string]func(p *plan){
		"own counts":                  nil,
		"own counts, random":          func(p *plan) { p.settings.Place.Policy = place.Random },
		"own counts, round-robin":     func(p *plan) { p.settings.Place.Policy = place.RoundRobin },
		"own counts, least in flight": func(p *plan) { p.settings.Place.Policy = place.LeastInFlight },
		"gossip":                      func(p *plan) { p.sharing = gossip },
		"owners":                      func(p *plan) { p.sharing = owners },
		"owners, counting":            func(p *plan) { p.sharing, p.counting = owners, true },
	}
	for _, entries := range []int{2, 3} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for name, change := range ways {
				b.Run(fmt.Sprintf("%s/entries=%d/load=%.2f", name, entries, load), func(b *testing.B) {
					for b.Loop() {
						share(b, entries, load, change)
					}
				})
			}
		}
	}
}

// share runs one way and reports what it showed.
func share(b *testing.B, entries int, load float64, change func(p *plan)) {
	var sum tally
	for seed := uint64(1); seed <= 3; seed++ {
		p := today(seed, false)
		p.pools, p.entries, p.length = 1, entries, 60*time.Second
		p.rate = func(int, time.Duration) float64 { return load * 240 }
		if change != nil {
			change(&p)
		}
		c := newDrive(p).run()[0]
		sum.waits = append(sum.waits, c.waits...)
		sum.offered += c.offered
		sum.useful += c.useful
		sum.collisions += c.collisions
	}
	b.ReportMetric(float64(sum.p(0.5).Microseconds())/1000, "p50_ms")
	b.ReportMetric(float64(sum.p(0.99).Microseconds())/1000, "p99_ms")
	b.ReportMetric(float64(sum.p(1).Microseconds())/1000, "worst_ms")
	b.ReportMetric(1000*float64(sum.collisions)/float64(sum.offered), "refusals/1000")
	b.ReportMetric(1000*(1-float64(sum.useful)/float64(sum.offered)), "lost/1000")
}
