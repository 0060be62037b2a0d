package cell_test

import (
	"testing"
	"time"

	"bramleyrock/core/cell"

	"gotest.tools/v3/assert"
)

// TestRowOfAReturningWorkerIsKept lets the registration of a worker lapse and come
// back. The row that names the worker must be stored before it is given work: the
// next owner takes tasks on a worker without a row for over.
func TestRowOfAReturningWorkerIsKept(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// flushed tells what becomes of the batch with the deletion; nil means
		// that there is none before the worker is back.
		flushed func(b *bench, batch *cell.Batch)
	}{
		"the deletion waits":  {nil},
		"the deletion failed": {func(b *bench, batch *cell.Batch) { b.FlushFailed(b.now, batch) }},
		"the deletion was stored": {func(b *bench, batch *cell.Batch) {
			for _, id := range batch.DeletedWorkers {
				delete(b.stored, id)
			}
			b.Flushed(b.now, batch)
		}},
	}
	for name, c := range cases {
		for _, late := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				b := newBench(t, 1, nil)
				b.SetWorkers(b.now, nil)
				var batch *cell.Batch
				if c.flushed != nil {
					batch = b.Flush(b.now)
					assert.DeepEqual(t, batch.DeletedWorkers, []string{"w0"})
					if !late {
						c.flushed(b, batch)
					}
				}
				b.pass(time.Second)
				b.SetWorkers(b.now, b.known)
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
					assert.Assert(t, p.Worker == "" || b.stored[p.Worker], "task is placed on %s, which has no row", p.Worker)
				}
				assert.Assert(t, b.progress["a"].Tasks != nil, "the task was not placed")
			})
		}
	}
}
