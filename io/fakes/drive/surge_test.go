package drive

import (
	"testing"

	"gotest.tools/v3/assert"
)

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

// BenchmarkSurge measures the surge in each way, over three seeds.
func BenchmarkSurge(b *testing.B) {
	for way := range baselines {
		b.Run(way, func(b *testing.B) {
			for b.Loop() {
				r := surgeIn(way, []uint64{1, 2, 3})
				b.ReportMetric(r.Useful(), "useful")
				b.ReportMetric(float64(r.Late()), "late")
				b.ReportMetric(float64(r.Refused()), "refused")
				b.ReportMetric(r.WorstRatio(), "worst_ratio")
				b.ReportMetric(float64(r.OthersP99().Milliseconds()), "others_p99_ms")
			}
		})
	}
}
