package site

import (
	"errors"
	"testing"
	"time"

	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// TestCellIsTakenWhileOtherCallsFail guards against an outage of some parts blocking the
// takeover of cells in other parts. The owner of a cell falls silent while the table
// refuses calls about another cell. Only reads of renewals may count.
func TestCellIsTakenWhileOtherCallsFail(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		readSince time.Duration // since when reads of renewals are answered
		want      bool
	}{
		"renewals have been read for long":   {-10 * time.Second, true},
		"renewals have just become readable": {2500 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := start
			s := New(Settings{Clock: func() time.Time { return clock }, CPUShare: 1, Log: logs.Discard(), Scope: tally.NoopScope})
			s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}}}, 1)
			s.view.withCell("a", func(v *cellView) {
				for home := range tenure.HomeCount {
					v.challenger.ObserveOwner(start, home, tenure.Owner{Name: "other", Session: "1"}, 1)
					v.challenger.ObserveRenewal(start, home, tenure.Record{}, 1)
				}
			})
			clock = start.Add(c.readSince)
			s.recordRenewalRead(nil)
			clock = start.Add(tenure.TakeoverTimeout + time.Second)
			s.recordAnswer(errors.New("the part is down"))
			assert.Equal(t, s.shouldAcquire("a"), c.want)
		})
	}
}
