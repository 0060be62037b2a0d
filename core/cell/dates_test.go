package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportDates checks when reports count as made whose answers take 5 ms, by the rate of
// the worker's clock, after a minute of reports and a pause of this process.
func TestReportDates(t *testing.T) {
	start := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	const delay, pause = 5 * time.Millisecond, 2 * time.Second
	for name, rate := range map[string]float64{"exact": 1, "slow": 0.98, "fast": 1.02} {
		t.Run(name, func(t *testing.T) {
			var d reportDates
			clock := func(at time.Time) time.Duration {
				return time.Hour + time.Duration(float64(at.Sub(start))*rate)
			}
			made := start
			for range 100 {
				made = made.Add(600 * time.Millisecond)
				date := d.date(made.Add(delay), made.Add(-delay), clock(made))
				assert.Check(t, !date.After(made.Add(delay)), "after it was handled")
			}
			made = made.Add(600 * time.Millisecond)
			requested := made.Add(-500 * time.Millisecond)
			date := d.date(made.Add(pause), requested, clock(made))
			assert.Check(t, !date.Before(requested), "before it was requested")
			assert.Check(t, date.Sub(made) < 300*time.Millisecond, "%v late", date.Sub(made))
		})
	}
}
