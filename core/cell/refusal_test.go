package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
)

// TestWorkerThatRefusesRenewals guards against tasks that wait for good on a worker which
// answers every renewal with a refusal.
func TestWorkerThatRefusesRenewals(t *testing.T) {
	cases := map[string]struct {
		started bool
		refusal rock.Refusal
	}{
		"the run is placed":            {false, rock.RefusedBusy},
		"the run has started":          {true, rock.RefusedBusy},
		"the reason is an unknown one": {true, rock.RefusedOther},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.AddJob(b.now, job(jobID, step(1)), 8)
			b.Decide(b.now)
			if c.started {
				b.startTasks()
			}
			b.registered = append(b.registered, b.registered[0])
			b.registered[1].ID = "w1"
			b.SetWorkers(b.now, b.registered)
			for range 100 {
				b.advance(100 * time.Millisecond)
				sent := b.now
				b.HandleReport(b.now, sent, "w0", rock.Report{Refusal: c.refusal, Clock: b.clock()})
				b.report("w1", nil, nil)
				b.flush()
				for _, o := range b.startTasks() {
					if o.Kind == cell.OrderStart && o.Worker.ID == "w1" {
						return
					}
				}
			}
			t.Errorf("the task waits\n%s", b.Describe(b.now, jobID))
		})
	}
}
