package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestRowOfAReturningWorkerIsKept guards against tasks on a worker without a stored
// row, which the next owner would take to be over and start again. The registration
// of a worker is lost and comes back before, while or after its row is deleted.
func TestRowOfAReturningWorkerIsKept(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// flushed ends the write of the batch with the deletion. It is nil if
		// there is no batch before the worker is back.
		flushed func(b *harness, batch *cell.Batch)
	}{
		"the deletion waits":  {nil},
		"the deletion failed": {func(b *harness, batch *cell.Batch) { b.FlushFailed(b.now, batch) }},
		"the deletion was stored": {func(b *harness, batch *cell.Batch) {
			for _, id := range batch.DeletedWorkers {
				delete(b.workerRows, id)
			}
			b.Flushed(b.now, batch)
		}},
	}
	for name, c := range cases {
		for _, late := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				b := newHarness(t, 1, nil)
				b.SetWorkers(b.now, nil)
				var batch *cell.Batch
				if c.flushed != nil {
					batch = b.Flush(b.now)
					assert.DeepEqual(t, batch.DeletedWorkers, []string{"w0"})
					if !late {
						c.flushed(b, batch)
					}
				}
				b.advance(time.Second)
				b.SetWorkers(b.now, b.registered)
				if batch != nil && late {
					c.flushed(b, batch)
				}
				b.report("w0", nil, nil)
				b.AddJob(b.now, job("a", step(1)), 9)
				for range 4 {
					b.Decide(b.now)
					b.flush()
					b.report("w0", nil, nil)
				}
				for _, p := range b.progress["a"].Tasks {
					assert.Assert(t, p.Worker == "" || b.workerRows[p.Worker], "task is placed on %s, which has no row", p.Worker)
				}
				assert.Assert(t, b.progress["a"].Tasks != nil, "the task was not placed")
			})
		}
	}
}

// TestRepeatedStartDoesNotExtendAStoredLeaseEnd guards against tasks that the next owner
// starts at the stored end of a lease which a repeated start has extended.
func TestRepeatedStartDoesNotExtendAStoredLeaseEnd(t *testing.T) {
	t.Parallel()
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("a", step(1)), 9)
	orders := b.Decide(b.now)
	b.flush()
	orders = append(orders, b.Decide(b.now)...)
	assert.Equal(t, len(orders), 1)
	b.advance(time.Second)
	b.HandleReply(b.now, orders[0], rock.Reply{}, fmt.Errorf("no answer"))
	b.HandleUnanswered(b.now, b.now, "w0", true, fmt.Errorf("no answer"))
	b.advance(time.Second)
	b.Decide(b.now)
	b.rows = nil
	b.flush()
	assert.Equal(t, len(b.rows), 1)
	leaseEnd := b.rows[0].LeaseEnd
	assert.Assert(t, !leaseEnd.IsZero())

	b.report("w0", nil, nil)
	b.advance(time.Second)
	for _, o := range b.Decide(b.now) {
		assert.Assert(t, o.Kind != cell.OrderStart || !start.Add(o.Start.LeaseUntil).After(leaseEnd), "the lease lasts until %v, %v is stored", o.Start.LeaseUntil, leaseEnd.Sub(start))
	}
	b.flush()
	isStart := func(o cell.Order) bool { return o.Kind == cell.OrderStart }
	assert.Assert(t, slices.ContainsFunc(b.Decide(b.now), isStart), "the start is not repeated once the row is written without the lease end")
}

// TestAdoptedRunIsStored guards against two runs of a task at the same time: the next
// owner would not know where the task runs.
func TestAdoptedRunIsStored(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.AddJob(b.now, job("j", step(1)), 1)
	b.AddProgress(b.now, "j", works.Progress{Started: true})
	b.report("w0", []rock.Run{{Task: "j.0.0.0", Run: 5, Percent: 100}}, nil)
	b.flush()
	assert.Equal(t, len(b.progress["j"].Tasks), 1)
	stored := b.progress["j"].Tasks[0]
	assert.Equal(t, stored.Run, int64(5))
	assert.Equal(t, stored.Worker, "w0")
}
