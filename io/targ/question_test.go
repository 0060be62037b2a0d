package targ_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
)

// countingWire counts the calls on a wire.
type countingWire struct {
	wire
	calls atomic.Int64
}

// RoundTrip implements [http.RoundTripper].
func (c *countingWire) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls.Add(1)
	return c.wire.RoundTrip(r)
}

// newWire returns a wire without faults to a worker named h1.
func newWire(w *work.Worker) wire {
	return wire{
		handlers: map[string]http.Handler{"h1": w.Handler()},
		duties:   group.New(context.Background()),
		maxLate:  time.Second,
		random:   rand.New(rand.NewPCG(1, 1)),
	}
}

// TestQuestionsThinOut runs a task that takes half an hour: its lease is
// renewed, and it is asked for far less often than once in a probe interval.
func TestQuestionsThinOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, lease = 30 * time.Minute, time.Minute
		fresh := &countingWire{wire: newWire(work.New(work.Settings{Name: "h1"}))}
		c := targ.New(targ.Settings{Kept: &fresh.wire, Fresh: fresh})
		task := rock.NewTask("t1", "tins", 1, lease, time.Time{}, []byte(`{"echo":1,"work_ms":1800000}`))
		a, err := c.Run(context.Background(), hostAt("h1"), task)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Payload()), `{"echo":1}`)
		most := int64(3*length/lease) + 10
		assert.Assert(t, fresh.calls.Load() <= most, "%d questions, want at most %d", fresh.calls.Load(), most)
		assert.Assert(t, fresh.calls.Load() >= int64(length/lease), "leases are renewed")
		c.Close()
		fresh.duties.Stop()
		assert.NilError(t, fresh.duties.Wait())
	})
}

// TestLostAnswersAreFoundInProportion runs tasks over a connection that goes
// silent for good: their answers come over another one, after at most a probe
// interval or half of the work's length, and never later than a third of the
// lease.
func TestLostAnswersAreFoundInProportion(t *testing.T) {
	const probe, lease = time.Second, time.Minute
	for _, length := range []time.Duration{
		50 * time.Millisecond, time.Second, 10 * time.Second, time.Minute, 10 * time.Minute,
	} {
		synctest.Test(t, func(t *testing.T) {
			fresh := newWire(work.New(work.Settings{Name: "h1"}))
			kept := newWire(work.New(work.Settings{}))
			kept.handlers, kept.duties, kept.share, kept.only = fresh.handlers, fresh.duties, 1, faultSilent
			c := targ.New(targ.Settings{Probe: probe, Kept: &kept, Fresh: &fresh})
			payload := fmt.Sprintf(`{"echo":1,"work_ms":%d}`, length.Milliseconds())
			task := rock.NewTask("t1", "tins", 1, lease, time.Time{}, []byte(payload))
			begun := time.Now()
			_, err := c.Run(context.Background(), hostAt("h1"), task)
			assert.NilError(t, err)
			late := time.Since(begun) - length
			t.Logf("work of %v was answered %v after its end", length, late)
			limit := max(probe, min(length/2, lease/3)) + probe/2
			assert.Assert(t, late <= limit, "want at most %v", limit)
			c.Close()
			fresh.duties.Stop()
			assert.NilError(t, fresh.duties.Wait())
		})
	}
}

// TestDeadTargetsAreGivenUp runs tasks on targets that die once they have the
// task: the run ends as may_have_run after a bounded time.
func TestDeadTargetsAreGivenUp(t *testing.T) {
	tests := map[string]struct {
		fault wireFault
		limit time.Duration
	}{
		"takes calls and is silent": {faultCallLost, 13 * time.Second},
		"refuses connections":       {faultRefused, 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kept := newWire(work.New(work.Settings{Name: "h1"}))
				kept.share, kept.only = 1, faultSilent
				fresh := newWire(work.New(work.Settings{Name: "h1"}))
				fresh.share, fresh.only = 1, test.fault
				c := targ.New(targ.Settings{Kept: &kept, Fresh: &fresh})
				begun := time.Now()
				_, err := c.Run(context.Background(), hostAt("h1"), taskOf("t1", "1"))
				t.Logf("given up after %v", time.Since(begun))
				assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
				assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
				assert.Assert(t, time.Since(begun) <= test.limit)
				c.Close()
				kept.duties.Stop()
				assert.NilError(t, kept.duties.Wait())
			})
		})
	}
}
