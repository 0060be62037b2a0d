package cell_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestGangKeepsMaxPerWorker guards against more tasks of a gang on a worker than its step
// allows.
func TestGangKeepsMaxPerWorker(t *testing.T) {
	cases := map[string]struct {
		workers, maxPerWorker int
		starts                int
	}{
		"no limit":          {1, 0, 4},
		"limit of one":      {4, 1, 4},
		"limit of two":      {2, 2, 4},
		"too few workers":   {3, 1, 0},
		"too many a worker": {1, 2, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, c.workers, nil)
			s := step(4)
			s.Gang, s.MaxPerWorker = true, c.maxPerWorker
			b.AddJob(b.now, job(jobID, s), 9)
			starts := b.startTasks()
			assert.Equal(t, len(starts), c.starts)
			for id, runs := range liveRuns(starts) {
				assert.Assert(t, c.maxPerWorker == 0 || len(runs) <= c.maxPerWorker, "worker %s runs %d", id, len(runs))
			}
		})
	}
}

// TestGangThatDoesNotFitHoldsNothing guards against a task that waits beside free workers,
// because a gang that finds too few of them was placed tentatively before.
func TestGangThatDoesNotFitHoldsNothing(t *testing.T) {
	for name, gangTasks := range map[string]int{"it fits": 2, "it does not fit": 4} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 3, nil)
			b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2}, {Name: "second", Pool: "tins", Attempts: 2, Priority: 1}})
			runs := map[string][]rock.Run{}
			b.AddJob(b.now, job("beside", spreadStep(3, 1000)), 9)
			assert.Assert(t, b.startsWithin(time.Second, "beside", runs))
			for i := range 3 { // the workers are reserved for these
				b.AddJob(b.now, job(fmt.Sprint("lasting", i), persistentStep(1, 0, 3500)), 9)
			}
			gang, second := step(gangTasks), job("b", step(1))
			gang.Gang, gang.Need.MilliCores = true, 2000
			second.Queue, second.Spec.Steps[0].Need.MilliCores = "second", 2000
			b.AddJob(b.now, job("a", gang), 9)
			b.AddJob(b.now, second, 10)
			assert.Assert(t, b.startsWithin(4*time.Second, "b", runs))
		})
	}
}

// TestGangStopsIfARunDoesNotStart guards against runs of a gang that wait for another one
// until they end by themselves.
func TestGangStopsIfARunDoesNotStart(t *testing.T) {
	cases := map[string]struct {
		refusal rock.Refusal
		err     error
	}{
		"its start is refused":  {rock.RefusedCapacity, nil},
		"its start is not sent": {"", rock.Fail("start", "w", rock.Unavailable, rock.NotRun)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2, nil)
			b.placeGang()
			starts := b.Decide(b.now)
			assert.Equal(t, len(starts), 2)
			b.HandleReply(b.now, starts[0], rock.Reply{Clock: b.clock()}, nil)
			b.HandleReply(b.now, starts[1], rock.Reply{Refusal: c.refusal, Clock: b.clock()}, c.err)
			orders := b.Decide(b.now)
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, orders[0].Kind, cell.OrderStop)
			assert.Equal(t, orders[0].Stop.Task, starts[0].Start.Task)
		})
	}
}

// TestGangWithACancelledPlacementDoesNotStart does the same for a gang of which one worker
// is to be drained before the starts are ordered.
func TestGangWithACancelledPlacementDoesNotStart(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.placeGang()
	b.SetClosing(map[string]bool{"w0": true})
	assert.Equal(t, len(b.Decide(b.now)), 0)
}

// placeGang places a gang of two tasks on two workers.
func (b *harness) placeGang() {
	s := step(2)
	s.Gang, s.MaxPerWorker = true, 1
	b.AddJob(b.now, job(jobID, s), 8)
	b.Decide(b.now)
	b.flush()
}

// TestRefusedStartsOfAGangAreOver guards against a gang that waits until the leases of its starts
// have run out: all of them were refused, the later ones while the runs were to be stopped, and the
// workers refused the stops, too.
func TestRefusedStartsOfAGangAreOver(t *testing.T) {
	for _, refusal := range []rock.Refusal{rock.RefusedCapacity, rock.RefusedLeaseExpired, rock.RefusedBusy, rock.RefusedOther} {
		t.Run(string(refusal), func(t *testing.T) {
			b := newHarness(t, 3, nil)
			gang := step(3)
			gang.Gang, gang.MaxPerWorker = true, 1
			b.AddJob(b.now, job(jobID, gang), 8)
			b.Decide(b.now)
			b.flush()
			refused := b.Decide(b.now)
			assert.Equal(t, len(refused), 3)
			for _, o := range refused {
				b.HandleReply(b.now, o, rock.Reply{Refusal: refusal, Clock: b.clock()}, nil)
			}
			for end := b.now.Add(time.Second); b.now.Before(end); b.advance(100 * time.Millisecond) {
				for _, w := range b.registered {
					b.report(w.ID, nil, nil)
				}
				for _, o := range append(b.Decide(b.now), b.Decide(b.now)...) {
					if o.Kind == cell.OrderStart {
						return
					}
					b.HandleReply(b.now, o, rock.Reply{Refusal: rock.RefusedOther, Clock: b.clock()}, nil)
				}
				b.flush()
			}
			t.Errorf("the gang waits\n%s", b.Describe(b.now, jobID))
		})
	}
}
