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

// TestCellIsTakenWhileOtherCallsFail lets the owner of a cell fall silent while the
// table refuses calls about another cell, as it does if only some of its parts are
// down. Whether the renewals of cells are heard is all that counts.
func TestCellIsTakenWhileOtherCallsFail(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		heard time.Duration // since when renewals are heard
		want  bool
	}{
		"renewals are heard":                {-10 * time.Second, true},
		"renewals have not been heard long": {2500 * time.Millisecond, false},
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
			clock = start.Add(c.heard)
			s.recordRenewalRead(nil)
			clock = start.Add(tenure.TakeoverTimeout + time.Second)
			s.recordAnswer(errors.New("the part is down"))
			assert.Equal(t, s.shouldAcquire("a"), c.want)
		})
	}
}
