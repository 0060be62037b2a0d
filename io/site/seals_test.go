package site

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/trail"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

const sealedID = "5c0e7a21d94b36f8"

// newMemSite returns a site on a store in memory, whose clock shows the given time.
func newMemSite(now *time.Time) (*Site, *memStore) {
	d := newMemStore()
	s := New(Settings{
		Name: "entry", Store: d, OutcomeRetention: time.Minute,
		Clock: func() time.Time { return *now }, Log: logs.Discard(), Scope: tally.NoopScope,
	})
	s.view.recordAnswer(*now, true)
	return s, d
}

// submitSteps are the steps of submitted jobs.
var submitSteps = works.Spec{Steps: []works.Step{{Count: 1}}}

// TestJobIsAcceptedInOneCell guards against a job that is accepted in two cells, or answered as
// accepted although it is not, because its queue was sent to another pool. The row that stores
// the job is already there in another cell or in this one, whatever its part.
func TestJobIsAcceptedInOneCell(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	value, err := works.EncodeJob(works.Job{ID: sealedID, Queue: "q", Spec: submitSteps})
	assert.NilError(t, err)
	cases := map[string]struct {
		former, present []byte
		accepted        bool // the caller is told that the job is accepted
		stored          bool // a new row is stored
		verdict         rock.Verdict
	}{
		"new":                            {nil, nil, true, true, rock.Ran},
		"in the former cell":             {value, nil, true, false, rock.Ran},
		"ended in the former cell":       {endedMark, nil, true, false, rock.Ran},
		"in both cells":                  {value, value, true, false, rock.Ran},
		"in this cell":                   {nil, value, true, false, rock.Ran},
		"ended in this cell":             {nil, endedMark, true, false, rock.Ran},
		"sealed before":                  {movedMark, nil, true, true, rock.Ran},
		"a newer entry moved it":         {nil, movedMark, false, false, rock.MayHaveRun},
		"moved, and accepted again here": {movedMark, value, true, false, rock.Ran},
		"cancelled":                      {nil, cancelledMark, false, false, rock.NotRun},
		"cancelled in the former cell":   {cancelledMark, nil, false, false, rock.NotRun},
		"cancelled in one cell, stored":  {cancelledMark, value, true, false, rock.Ran},
	}
	for name, c := range cases {
		for i := range intakePartsPerJob {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s, d := newMemSite(&now)
				s.recordQueues(t.Context(), []works.Queue{{Name: "q", Pool: "tins"}}, 1)
				s.recordQueues(t.Context(), []works.Queue{{Name: "q", Pool: "lids"}}, 2)
				row := func(pool string, i int) string {
					return key(jobTable(cellOf(pool)), intakeParts(cellOf(pool), sealedID)[i], sealedID+jobSuffix)
				}
				if c.former != nil {
					d.put(row("tins", i), c.former)
				}
				if c.present != nil {
					d.put(row("lids", 0), c.present)
				}
				err := s.Submit(t.Context(), works.Queue{Name: "q", Pool: "lids"}, sealedID, submitSteps)
				assert.Equal(t, err == nil, c.accepted, "%v", err)
				now := d.values()
				if err != nil {
					assert.Equal(t, rock.VerdictOf(err), c.verdict)
				}
				for i := range intakePartsPerJob {
					if c.verdict == rock.NotRun { // no write that is carried out later stores the job
						assert.Assert(t, now[row("lids", i)] != "" && now[row("tins", i)] != "", "part %d is not sealed", i)
					}
				}
				assert.Equal(t, len(now[row("lids", 0)]) > 1 && c.present == nil, c.stored)
				if c.stored { // a write to the former cell that is carried out now must not store the job
					for i := range intakePartsPerJob {
						assert.Assert(t, now[row("tins", i)] != "", "part %d is not sealed", i)
					}
				}
			})
		}
	}
}

// TestCancellationSealsTheCellOfANewerConfiguration guards against a cancellation that is
// answered as that of an unknown job, while another entry, with a newer configuration, stores
// the job in another cell.
func TestCancellationSealsTheCellOfANewerConfiguration(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	older, newer := works.Queue{Name: "q", Pool: "tins"}, works.Queue{Name: "q", Pool: "lids"}
	for name, storedFirst := range map[string]bool{"the job is stored first": true, "the cancellation comes first": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, d := newMemSite(&now)
			s.recordQueues(t.Context(), []works.Queue{older}, 1)
			other := New(s.settings)
			other.view.recordAnswer(now, true)
			other.recordQueues(t.Context(), []works.Queue{newer}, 2) // the first entry does not know
			if storedFirst {
				assert.NilError(t, other.Submit(t.Context(), newer, sealedID, submitSteps))
				assert.NilError(t, s.Cancel(t.Context(), older, sealedID))
				return
			}
			assert.Equal(t, rock.ReasonOf(s.Cancel(t.Context(), older, sealedID)), rock.Expired)
			assert.Equal(t, rock.ReasonOf(other.Submit(t.Context(), newer, sealedID, submitSteps)), rock.Cancelled)
			for k, value := range d.values() {
				assert.Assert(t, !strings.HasSuffix(k, jobSuffix) || len(value) == 1, "%s is stored", k)
			}
		})
	}
}

// TestExpiredSealsAreSwept guards against seals that stay for good, and against the deletion of
// a row that is a seal no longer.
func TestExpiredSealsAreSwept(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	now := start
	s, d := newMemSite(&now)
	_, err := s.sealJob(t.Context(), "tins", sealedID, movedMark)
	assert.NilError(t, err)
	parts := intakeParts("tins", sealedID)
	row := func(i int) string { return key(jobTable("tins"), parts[i], sealedID+jobSuffix) }
	o := &cellOwner{site: s, cell: "tins", pool: "tins", jobTable: jobTable("tins"), log: s.log.WithField("cell", "tins"), events: make(chan func(time.Time), maxEvents), state: cell.New(cell.Settings{Pool: "tins"})}
	for _, part := range parts {
		l, err := d.List(t.Context(), o.jobTable, part, "", "")
		assert.NilError(t, err)
		o.applyJobRows(now, l.Rows)
	}
	d.put(row(1), endedMark) // changed since it was read
	for _, at := range []time.Duration{2 * time.Minute, 2*time.Minute + time.Second} {
		now = start.Add(at)
		g := group.New(t.Context())
		g.Go("sweep", func(ctx context.Context) error {
			o.sweepSeals(ctx)
			return nil
		})
		(<-o.events)(now)
		assert.NilError(t, g.Wait())
	}
	assert.DeepEqual(t, d.values(), map[string]string{row(1): string(endedMark)})
}

// TestUnusedPoolsLeaveTheRecords guards against submissions that look into former cells for
// good, and against a pool that is forgotten while it has jobs of the queue.
func TestUnusedPoolsLeaveTheRecords(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	job := works.Job{ID: sealedID, Queue: "q", Spec: submitSteps}
	cases := map[string]struct {
		sentTo  string // pool to which the queue is sent, or "" if it is not configured
		hasJob  bool
		unread  bool
		after   time.Duration
		removed bool
	}{
		"the cell has had no job for long": {"lids", false, false, 3 * time.Minute, true},
		"the queue is not configured":      {"", false, false, 3 * time.Minute, true},
		"an outcome may be asked for":      {"lids", false, false, time.Minute, false},
		"the cell has a job":               {"lids", true, false, 3 * time.Minute, false},
		"a part is unread":                 {"lids", false, true, 3 * time.Minute, false},
		"the queue is sent back":           {"tins", false, false, 3 * time.Minute, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := start
			s, _ := newMemSite(&now)
			s.recordQueues(t.Context(), []works.Queue{{Name: "q", Pool: "tins"}}, 1)
			if c.sentTo == "lids" {
				s.recordQueues(t.Context(), []works.Queue{{Name: "q", Pool: "lids"}}, 2)
			}
			var queues []works.Queue
			if c.sentTo != "" {
				queues = []works.Queue{{Name: "q", Pool: c.sentTo}}
			}
			o := &cellOwner{site: s, cell: "tins", pool: "tins", state: cell.New(cell.Settings{Pool: "tins"}), unreadParts: map[string]uint64{}}
			if c.hasJob {
				o.state.AddJob(start, job, 1)
			}
			if c.unread {
				o.unreadParts["tins#1"] = 1
			}
			for _, at := range []time.Duration{0, c.after} {
				now = start.Add(at)
				if unused := o.unusedQueues(now, []string{"q"}, queues); len(unused) > 0 {
					s.removeFromTrail(t.Context(), unused, "tins", queues)
				}
			}
			var listed []string
			s.trail.with(func(t *trail.Trail) { listed = t.Queues("tins") })
			assert.Equal(t, !slices.Contains(listed, "q"), c.removed)
		})
	}
}

// TestQueueOfAnOlderConfigurationWritesNoRecord guards against a record that names the former pool
// of a queue as the newest, because the configuration changed while a submission was served.
func TestQueueOfAnOlderConfigurationWritesNoRecord(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	s, d := newMemSite(&now)
	older, newer := works.Queue{Name: "q", Pool: "tins"}, works.Queue{Name: "q", Pool: "lids"}
	s.view.setConfig(works.Config{Queues: []works.Queue{newer}}, 2)
	s.recordQueues(t.Context(), []works.Queue{newer}, 2)
	err := s.Submit(t.Context(), older, sealedID, submitSteps)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun, "%v", err)
	s.work.Stop()
	assert.NilError(t, s.work.Wait())
	var pools []string
	s.trail.with(func(t *trail.Trail) { pools = t.Others("q", "lids") })
	assert.Equal(t, len(pools), 0, "%v", pools)
	for k := range d.values() {
		assert.Assert(t, !strings.HasSuffix(k, jobSuffix), "%s is stored", k)
	}
}
