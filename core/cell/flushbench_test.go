package cell_test

import (
	"fmt"
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// encodedProgress returns the size of the rows of a batch.
func encodedProgress(b *testing.B, batch *cell.Batch) (bytes int) {
	for _, w := range batch.JobWrites {
		data, _, err := works.EncodeProgress(w.Progress, 48<<10)
		assert.NilError(b, err)
		bytes += len(data)
	}
	return bytes
}

// BenchmarkFlush measures the time and the written bytes of storing that one more task of a job
// is done, when half of its tasks are.
func BenchmarkFlush(b *testing.B) {
	for _, tasks := range []int{12, 48, 2000, 4000} {
		b.Run(fmt.Sprint(tasks, " tasks"), func(b *testing.B) {
			t := &testing.T{}
			h := newHarness(t, 1, func(s *cell.Settings) { s.LeaseDuration = 1 << 60 })
			h.AddJob(h.now, job("j", step(tasks)), 9)
			p := works.Progress{Started: true}
			for i := range tasks / 2 {
				p.Tasks = append(p.Tasks, works.TaskProgress{Index: i, Done: true, Run: 1 << 40})
			}
			h.AddProgress(h.now, "j", p)
			h.flush()
			bytes, last := 0, rock.End{Task: fmt.Sprintf("j.0.0.%d", tasks-1), Reason: rock.EndStopped}
			for i := 0; b.Loop(); i++ {
				last.Run = 1<<41 + int64(i)
				h.report("w0", []rock.Run{{Task: last.Task, Run: last.Run + 1}}, []rock.End{last})
				batch := h.Flush(h.now)
				bytes += encodedProgress(b, batch)
				h.Flushed(h.now, batch)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "written_bytes/op")
		})
	}
}
