package eject_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// ejectByFailures makes a host of a healthy pool fail until it is ejected, and
// returns the number of failures.
func ejectByFailures(t *testing.T, d *eject.Detector, now time.Time, h *eject.HostHealth) int {
	t.Helper()
	for n := 1; n <= 20; n++ {
		if d.Record(now, h, true) {
			return n
		}
		d.Record(now, d.Track("h1"), false)
		d.Record(now, d.Track("h2"), false)
	}
	t.Fatal("host was not ejected after 20 failures")
	return 0
}

func TestEjectedHostReturnsGradually(t *testing.T) {
	d := eject.NewDetector(eject.Settings{})
	h := d.Track("h0")
	d.Track("h1")
	d.Track("h2")
	ejectByFailures(t, d, start, h)
	assert.Equal(t, h.TaskLimit(start, 8), 0)
	now := h.EjectedUntil()
	assert.Equal(t, now.Sub(start), 5*time.Second)
	for _, want := range []int{1, 2, 4, 8} {
		assert.Equal(t, h.TaskLimit(now, 8), want)
		assert.Assert(t, !d.Record(now, h, false))
	}
	assert.Equal(t, h.State(now), eject.Healthy)
}

func TestFailureOnReturnDoublesEjectionTime(t *testing.T) {
	d := eject.NewDetector(eject.Settings{})
	h := d.Track("h0")
	d.Track("h1")
	d.Track("h2")
	ejectByFailures(t, d, start, h)
	for _, want := range []time.Duration{10, 20, 40, 60, 60} {
		now := h.EjectedUntil()
		assert.Assert(t, d.Record(now, h, true))
		assert.Equal(t, h.EjectedUntil().Sub(now), want*time.Second)
	}
}

func TestMaxEjectedShare(t *testing.T) {
	cases := map[string]struct{ hosts, failing, want int }{
		"only host":         {1, 1, 0},
		"one of two":        {2, 1, 1},
		"two of three":      {3, 2, 1},
		"half of ten":       {10, 5, 3},
		"one of a thousand": {1000, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := eject.NewDetector(eject.Settings{})
			for i := range c.hosts {
				d.Track(fmt.Sprint(i))
			}
			ejected := 0
			for range 200 {
				for i := range min(c.hosts, 10) {
					if d.Record(start, d.Track(fmt.Sprint(i)), i < c.failing) {
						ejected++
					}
				}
			}
			assert.Equal(t, ejected, c.want)
		})
	}
}

func TestQuarantine(t *testing.T) {
	r := rock.NewRequest(rock.RequestSpec{ID: "r1", Organisation: "alpha", Pool: "tins", Payload: []byte(`{"line":4}`)})
	other := rock.NewRequest(rock.RequestSpec{ID: "r1", Organisation: "beta", Pool: "tins", Payload: []byte(`{"line":4}`)})
	q := eject.NewQuarantine(eject.Settings{})
	for i, countsAgainstHost := range []bool{true, false, false} {
		assert.NilError(t, q.Check(start, r, 10))
		assert.Equal(t, q.Record(start, r, fmt.Sprint("h", i), true), countsAgainstHost)
	}
	err := q.Check(start, r, 10)
	assert.Equal(t, rock.ReasonOf(err), rock.Quarantined)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.NilError(t, q.Check(start, other, 10))
	assert.NilError(t, q.Check(start.Add(time.Second), r, 10), "one request per second is let through")
	assert.Equal(t, rock.ReasonOf(q.Check(start.Add(time.Second), r, 10)), rock.Quarantined)
	q.Record(start.Add(time.Second), r, "h4", false)
	assert.NilError(t, q.Check(start.Add(time.Second), r, 10), "a success ends the quarantine")
}

func TestQuarantineOfSmallPool(t *testing.T) {
	r := rock.NewRequest(rock.RequestSpec{ID: "r1", Pool: "tins"})
	q := eject.NewQuarantine(eject.Settings{})
	q.Record(start, r, "h1", true)
	assert.NilError(t, q.Check(start, r, 1))
	q.Record(start, r, "h2", true)
	assert.Equal(t, rock.ReasonOf(q.Check(start, r, 2)), rock.Quarantined)
	assert.NilError(t, q.Check(start.Add(30*time.Second), r, 2))
}
