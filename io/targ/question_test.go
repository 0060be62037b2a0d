package targ_test

import (
	"context"
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

// TestQuestionsThinOut runs a task that takes half an hour: its lease is
// renewed, and it is asked for far less often than once in a probe interval.
func TestQuestionsThinOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, lease = 30 * time.Minute, time.Minute
		w := work.New(work.Settings{Name: "h1"})
		fresh := &countingWire{wire: wire{
			handlers: map[string]http.Handler{"h1": w.Handler()},
			duties:   group.New(context.Background()),
			maxLate:  time.Second,
			random:   rand.New(rand.NewPCG(1, 1)),
		}}
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
