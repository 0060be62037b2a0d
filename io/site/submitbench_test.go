package site

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// BenchmarkCancelUnknown measures the CPU time, the calls to the table and the written bytes of
// the cancellation of a job that is not known.
func BenchmarkCancelUnknown(b *testing.B) {
	now := time.Now()
	s, d := newMemSite(&now)
	q := works.Queue{Name: "q", Pool: "tins"}
	s.recordQueues(b.Context(), []works.Queue{q}, 1)
	d.calls, d.bytes = 0, 0
	for i := 0; b.Loop(); i++ {
		assert.Assert(b, s.Cancel(b.Context(), q, fmt.Sprintf("%016x", i*7919)) != nil)
		maps.DeleteFunc(d.rows, func(k string, _ rock.Row) bool { return strings.HasSuffix(k, jobSuffix) })
	}
	b.ReportMetric(float64(d.calls)/float64(b.N), "calls/op")
	b.ReportMetric(float64(d.bytes)/float64(b.N), "written_bytes/op")
}

// BenchmarkSubmit measures the CPU time, the calls to the table and the written bytes of one
// submission, in a queue whose jobs may be in a number of other pools.
func BenchmarkSubmit(b *testing.B) {
	for formers := range 3 {
		b.Run(fmt.Sprint(formers, " former pools"), func(b *testing.B) {
			now := time.Now()
			s, d := newMemSite(&now)
			q := works.Queue{Name: "q"}
			for i := range formers + 1 {
				q.Pool = fmt.Sprint("pool", i)
				s.recordQueues(b.Context(), []works.Queue{q}, uint64(i+1))
			}
			d.calls, d.bytes = 0, 0
			for i := 0; b.Loop(); i++ {
				assert.NilError(b, s.Submit(b.Context(), q, fmt.Sprintf("%016x", i*7919), submitSteps))
			}
			b.ReportMetric(float64(d.calls)/float64(b.N), "calls/op")
			b.ReportMetric(float64(d.bytes)/float64(b.N), "written_bytes/op")
		})
	}
}
