package roster_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/roster"
)

// BenchmarkStatusRows measures the rate of reads and writes at the platform caused
// by the status rows of entries with default settings, both idle and while the
// revision changes ten times per second. Run it with -benchtime 1x.
func BenchmarkStatusRows(b *testing.B) {
	const window = 10 * time.Second
	for _, entries := range []int{3, 9, 27} {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/changing=%t", entries, changing), func(b *testing.B) {
				d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
				begin := time.Now()
				report := func() roster.Report {
					if !changing {
						return roster.Report{Revision: 1}
					}
					return roster.Report{Revision: rock.Revision(1 + time.Since(begin)/(100*time.Millisecond))}
				}
				g := group.New(context.Background())
				for n := range entries {
					name := fmt.Sprintf("e%d", n+1)
					r := roster.New(roster.Settings{Self: rock.NewMember(name, "a", "127.0.0.1:1", "1"), Table: d, Report: report})
					g.Go(name, r.Run)
				}
				before := d.Stats()
				time.Sleep(window)
				after := d.Stats()
				b.ReportMetric(float64(after.Writes-before.Writes)/window.Seconds(), "writes/s")
				b.ReportMetric(float64(after.Reads-before.Reads)/window.Seconds(), "reads/s")
				g.Stop()
				_ = g.Wait()
			})
		}
	}
}
