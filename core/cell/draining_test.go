package cell_test

import (
	"errors"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestNoStartIsRepeatedOnADrainingWorker guards against a task that is started on a worker long
// after it began to drain: its start had no answer, and was repeated once the worker answered again.
func TestNoStartIsRepeatedOnADrainingWorker(t *testing.T) {
	gang := step(2)
	gang.Gang = true
	steps := map[string]works.Step{"ordinary": step(1), "gang": gang, "persistent": persistentStep(1, 0, 1000)}
	cases := map[string]struct {
		// drainsAt is when the worker drains after its start was sent, and silent for how long it
		// answers nothing.
		drainsAt, silent time.Duration
		begun            bool // the worker has carried out the start
		reopens          bool // it is ready again soon
	}{
		"it drains before the start has timed out": {drainsAt: 200 * time.Millisecond},
		"it drains after that":                     {drainsAt: 950 * time.Millisecond},
		"it leaves renewals unanswered, too":       {drainsAt: 200 * time.Millisecond, silent: 2 * time.Second},
		"it has begun the task":                    {drainsAt: 200 * time.Millisecond, begun: true},
		"it has begun it and is silent":            {drainsAt: 200 * time.Millisecond, silent: 2 * time.Second, begun: true},
		"it is ready again":                        {drainsAt: 200 * time.Millisecond, reopens: true},
	}
	for name, c := range cases {
		for kind, s := range steps {
			t.Run(name+", "+kind, func(t *testing.T) {
				b := newHarness(t, 1, nil)
				b.AddJob(b.now, job(jobID, s), 8)
				b.Decide(b.now)
				b.flush()
				var first []cell.Order
				for _, o := range b.Decide(b.now) {
					assert.Equal(t, o.Kind, cell.OrderStart)
					first = append(first, o)
				}
				sent := b.now
				b.registered = append(b.registered, b.registered[0])
				b.registered[1].ID = "w1"
				begun, elsewhere, stops := c.begun, 0, 0
				var runs []rock.Run
				for b.now.Sub(sent) < 6*time.Second {
					b.advance(50 * time.Millisecond)
					after := b.now.Sub(sent)
					b.registered[0].State = rock.WorkerReady
					if after >= c.drainsAt && (!c.reopens || after < 600*time.Millisecond) {
						b.registered[0].State = rock.WorkerDraining
					}
					b.SetWorkers(b.now, b.registered)
					if after == 900*time.Millisecond {
						for _, o := range first {
							b.HandleReply(b.now, o, rock.Reply{}, rock.Fail("start", "w0", rock.OutcomeUnknown, rock.MayHaveRun))
						}
						b.HandleUnanswered(b.now, sent, "w0", true, errors.New("no answer"))
					}
					switch {
					case after < c.silent:
						b.HandleUnanswered(b.now, b.now, "w0", true, errors.New("no answer"))
					case begun:
						b.report("w0", running(first...), nil)
					default:
						b.report("w0", nil, nil)
					}
					b.report("w1", runs, nil)
					b.flush()
					for _, o := range b.Decide(b.now) {
						switch {
						case o.Worker.ID == "w1":
							elsewhere++
							runs = append(runs, running(o)...)
						case o.Kind == cell.OrderStart:
							assert.Equal(t, b.registered[0].State, rock.WorkerReady, "started again after %v", after)
							begun = true
						case o.Kind == cell.OrderStop:
							stops++
							begun = false
						}
						b.HandleReply(b.now, o, rock.Reply{Clock: b.clock()}, nil)
					}
				}
				switch {
				case begun && !s.Persistent: // a draining worker completes what it has begun
					assert.Equal(t, stops+elsewhere, 0)
				case !begun:
					assert.Equal(t, elsewhere, s.Count, "%s", b.Describe(b.now, jobID))
				}
			})
		}
	}
}
