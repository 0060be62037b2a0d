package targ_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramleyrock/io/fakes/work"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
)

// BenchmarkRun runs tasks that need no time on a worker over loopback, through
// the client and as a plain POST, which is the least that a call costs.
func BenchmarkRun(b *testing.B) {
	c := targ.New(targ.Settings{})
	defer c.Close()
	for name, run := range map[string]runner{"client": c.Run, "plain": plain} {
		b.Run(name, func(b *testing.B) {
			w := work.New(work.Settings{Name: "h1", Slots: 1 << 20, Retain: time.Second})
			server := httptest.NewServer(w.Handler())
			defer server.Close()
			host := hostAt(strings.TrimPrefix(server.URL, "http://"))
			var count atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				_, err := run(context.Background(), host, taskOf(fmt.Sprintf("%s%d", name, count.Add(1)), `{"echo":1}`))
				assert.NilError(b, err)
			}
		})
	}
}
