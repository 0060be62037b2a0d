package site

import (
	"errors"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/intake"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// renewCell applies a renewal of the cell of a pool that holds jobs of the given size in bytes.
func renewCell(t *testing.T, s *Site, pool string, seq uint64, held int64) {
	t.Helper()
	s.view.addCells([]string{pool})
	value, err := encode(renewal{HasLoad: true, HeldBytes: held, RemainingWork: 600, Cores: 20, Record: tenure.Record{Fence: 5, Seq: seq}})
	assert.NilError(t, err)
	s.applyCellRows([]rock.Row{rock.NewRow(key(cellTable, homePart(cellOf(pool), 0), renewalName), seq, value)})
}

// TestJobsBeyondTheMemoryOfAPoolAreRejected guards against a pool that no owner can load, because its
// entries accept jobs without a bound, and against a caller who is told that an accepted job has not
// run.
func TestJobsBeyondTheMemoryOfAPoolAreRejected(t *testing.T) {
	t.Parallel()
	large := works.Spec{Steps: []works.Step{{Count: works.MaxTasks}, {Count: works.MaxTasks}, {Count: works.MaxTasks}}}
	now := time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)
	s, d := newMemSite(&now)
	q, other := works.Queue{Name: "q", Pool: "tins"}, works.Queue{Name: "o", Pool: "lids"}
	s.recordQueues(t.Context(), []works.Queue{q, other}, 1)
	renewCell(t, s, "tins", 1, 0)
	renewCell(t, s, "lids", 1, 0)

	assert.NilError(t, s.Submit(t.Context(), q, sealedID, large))
	var rejected []string
	for i := range 50 { // callers submit jobs, and the owner has not renewed since
		id := fmt.Sprintf("%016x", i)
		if err := s.Submit(t.Context(), q, id, large); err != nil {
			rejected = append(rejected, id)
			var f *rock.Failure
			assert.Assert(t, errors.As(err, &f))
			assert.Equal(t, f.Reason(), rock.Overloaded)
			assert.Equal(t, f.Verdict(), rock.NotRun)
			assert.Assert(t, f.RetryAfter() >= time.Second && f.RetryAfter() <= 30*time.Second, "%v", f.RetryAfter())
		}
	}
	assert.Assert(t, len(rejected) >= 45, "%d of 50 are rejected", len(rejected))
	for _, id := range rejected {
		for k := range d.rows {
			_, name := splitKey(k)
			assert.Assert(t, name != id+jobSuffix, "rejected job %s is stored", id)
		}
	}

	renewCell(t, s, "tins", 2, intake.MaxHeldBytes)
	assert.Assert(t, s.Submit(t.Context(), q, rejected[0], submitSteps) != nil, "the pool is full")
	assert.NilError(t, s.Submit(t.Context(), q, sealedID, large), "the job was accepted before")
	assert.NilError(t, s.Submit(t.Context(), other, rejected[0], large), "the other pool is empty")

	renewCell(t, s, "tins", 3, 0)
	renewCell(t, s, "tins", 4, 0)
	assert.NilError(t, s.Submit(t.Context(), q, rejected[0], large), "the pool is empty")
}

// TestRenewalsOfAnOlderProgramRejectNothing guards against jobs that are rejected because the owner
// runs a program that does not tell what it holds.
func TestRenewalsOfAnOlderProgramRejectNothing(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)
	s, _ := newMemSite(&now)
	q := works.Queue{Name: "q", Pool: "tins"}
	s.recordQueues(t.Context(), []works.Queue{q}, 1)
	for i := range 200 {
		renewCell(t, s, "tins", uint64(i+1), 0)
		for k := range 20 {
			assert.NilError(t, s.Submit(t.Context(), q, fmt.Sprintf("%08x%08x", i, k), works.Spec{Steps: []works.Step{{Count: 16}}}))
		}
	}
}
