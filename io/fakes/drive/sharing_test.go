package drive

import (
	"fmt"
	"testing"
)

// BenchmarkSharing measures the ways in which two and three entries of a zone
// share its hosts, at several loads, over three seeds.
func BenchmarkSharing(b *testing.B) {
	for _, entries := range []int{2, 3} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for way := range ways {
				b.Run(fmt.Sprintf("%s/entries=%d/load=%.2f", way, entries, load), func(b *testing.B) {
					for b.Loop() {
						r := shareIn(way, entries, load, []uint64{1, 2, 3})
						b.ReportMetric(float64(r.Wait(0.5).Microseconds())/1000, "p50_ms")
						b.ReportMetric(float64(r.Wait(0.99).Microseconds())/1000, "p99_ms")
						b.ReportMetric(float64(r.Wait(1).Microseconds())/1000, "worst_ms")
						b.ReportMetric(r.Refusals(), "refusals/1000")
						b.ReportMetric(r.Lost(), "lost/1000")
					}
				})
			}
		}
	}
}
