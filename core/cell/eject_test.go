package cell_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"

	"gotest.tools/v3/assert"
)

// ejectWorker makes a worker refuse tasks until the cell gives it none. The tasks on the
// other workers end at once.
func (b *harness) ejectWorker(id string, runs map[string][]rock.Run) {
	refused := 0
	for i := range 60 {
		b.advance(600 * time.Millisecond)
		b.AddJob(b.now, job(fmt.Sprint("probe", i), step(3*len(b.registered))), 1)
		orders := b.Decide(b.now)
		b.flush()
		refusedNow := 0
		ends := map[string][]rock.End{}
		for _, o := range append(orders, b.Decide(b.now)...) {
			if o.Kind != cell.OrderStart {
				continue
			}
			reply := rock.Reply{Clock: b.clock()}
			if o.Worker.ID == id {
				reply.Refusal = rock.RefusedBusy
				refusedNow++
			} else {
				ends[o.Worker.ID] = append(ends[o.Worker.ID], end(o, rock.EndDone))
			}
			b.HandleReply(b.now, o, reply, nil)
		}
		for _, w := range b.registered {
			b.report(w.ID, runs[w.ID], ends[w.ID])
		}
		b.Cancel(b.now, fmt.Sprint("probe", i))
		b.flush()
		refused += refusedNow
		if refused > 0 && refusedNow == 0 {
			return
		}
	}
	b.t.Fatal("the worker was not ejected")
}

// TestReturningWorkerWithPersistentRunGetsTasks guards against a worker that was ejected
// while a persistent task ran on it and is never given a task again.
func TestReturningWorkerWithPersistentRunGetsTasks(t *testing.T) {
	for name, persistent := range map[string]bool{"ordinary task": false, "persistent task": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 3, nil)
			b.AddJob(b.now, job("lasting", persistentStep(3, 1, 500)), 1)
			runs := map[string][]rock.Run{}
			for _, o := range b.startTasks() {
				runs[o.Worker.ID] = running(o)
			}
			assert.Equal(t, len(runs), 3)
			b.ejectWorker("w0", runs)
			for range 300 { // longer than the ejection lasts
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered {
					b.report(w.ID, runs[w.ID], nil)
				}
				b.Decide(b.now)
			}
			s := step(3)
			if persistent {
				s = persistentStep(3, 1, 3000)
			}
			s.Need.MilliCores = 3000
			b.AddJob(b.now, job("waiting", s), 1)
			started := map[string]bool{}
			for range 20 {
				for _, o := range b.startTasks() {
					started[o.Worker.ID] = true
					runs[o.Worker.ID] = append(runs[o.Worker.ID], running(o)...)
				}
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered {
					b.report(w.ID, runs[w.ID], nil)
				}
			}
			assert.DeepEqual(t, started, map[string]bool{"w0": true, "w1": true, "w2": true})
		})
	}
}

// TestRequiredCoresCoverTasksBesideEjectedWorkers guards against a task that waits for the
// end of an ejection, because the free capacity of the ejected worker exceeds its need.
func TestRequiredCoresCoverTasksBesideEjectedWorkers(t *testing.T) {
	b := newHarness(t, 3, nil)
	b.ejectWorker("w0", nil)
	b.AddJob(b.now, job("busy", persistentStep(2, 1, 3000)), 1)
	runs := map[string][]rock.Run{}
	for _, o := range b.startTasks() {
		runs[o.Worker.ID] = running(o)
	}
	assert.Equal(t, len(runs), 2)
	b.AddJob(b.now, job("waiting", largeStep(1)), 1)
	for range 25 {
		b.advance(100 * time.Millisecond)
		for _, w := range b.registered {
			b.report(w.ID, runs[w.ID], nil)
		}
		assert.Equal(t, len(b.startTasks()), 0)
	}
	assert.Equal(t, b.Load(b.now).RequiredCores, 16.0)
}
