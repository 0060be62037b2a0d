package cell_test

import (
	"errors"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"

	"gotest.tools/v3/assert"
)

// TestStartOnARestartedWorker guards against two runs of a task at the same time: its worker
// restarted before the start reached it, and answers no renewals after. The lease in the start is
// a time of the former clock, which the worker limits to its longest lease.
func TestStartOnARestartedWorker(t *testing.T) {
	const longest = 6 * time.Second
	cases := map[string]struct {
		clock time.Duration // in the reply to the start
		late  bool          // the worker reports after the start was sent, before the reply
		// former is true if a report of the former incarnation arrives after the reply.
		former bool
		least  time.Duration // until the task is started elsewhere
		most   time.Duration
	}{
		"it has not restarted":                          {10 * time.Second, false, false, 4 * time.Second, 6 * time.Second},
		"it has restarted":                              {100 * time.Millisecond, false, false, longest, longest + 2500*time.Millisecond},
		"it has restarted, and a former report is late": {100 * time.Millisecond, false, true, longest, longest + 2500*time.Millisecond},
		"the reply is overtaken":                        {9 * time.Second, true, false, 4 * time.Second, 6 * time.Second},
		"the reply does not have a time":                {0, false, false, 4 * time.Second, 6 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2, func(s *cell.Settings) { s.MaxLeaseDuration = longest })
			for range 100 {
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered {
					b.report(w.ID, nil, nil)
				}
			}
			b.AddJob(b.now, job(jobID, step(1)), 8)
			b.Decide(b.now)
			b.flush()
			o := b.Decide(b.now)[0]
			if c.late {
				b.advance(50 * time.Millisecond)
				b.report(o.Worker.ID, running(o), nil)
			}
			sent := b.now
			b.HandleReply(b.now, o, rock.Reply{Clock: c.clock}, nil)
			accepted := b.now
			if c.former {
				b.advance(20 * time.Millisecond)
				b.reportSent(sent.Add(-time.Millisecond), o.Worker.ID, nil, nil)
			}
			for b.now.Before(accepted.Add(20 * time.Second)) {
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered {
					if w.ID == o.Worker.ID {
						b.HandleUnanswered(b.now, b.now, w.ID, true, errors.New("no answer"))
					} else {
						b.report(w.ID, nil, nil)
					}
				}
				if len(b.startTasks()) > 0 {
					break
				}
			}
			waited := b.now.Sub(accepted)
			assert.Assert(t, waited >= c.least && waited <= c.most, "started after %v", waited)
		})
	}
}

// TestRefusedStopOnARestartedWorker guards against a task that waits for as long as its worker had
// been up: a start had no answer, the worker restarted and refuses all orders, and the end of the
// start's lease was compared with the clock of the next incarnation.
func TestRefusedStopOnARestartedWorker(t *testing.T) {
	cases := map[string]struct {
		refusal rock.Refusal
		starts  int // that had no answer
	}{
		"it is busy, and a second start was refused": {rock.RefusedBusy, 1},
		"it is busy, and two starts had no answer":   {rock.RefusedBusy, 2},
		"its reason is unknown":                      {rock.RefusedOther, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const longest = 6 * time.Second
			b := newHarness(t, 1, func(s *cell.Settings) { s.MaxLeaseDuration = longest })
			pass := func(born time.Time) (starts int) {
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered {
					clock, since := b.clock(), start
					if w.ID == "w0" && !born.IsZero() {
						clock, since = b.now.Sub(born), born
					}
					b.HandleReport(b.now, b.now, w.ID, rock.Report{Clock: clock, WorkerStartedAt: since})
				}
				b.flush()
				for _, o := range b.Decide(b.now) {
					if o.Worker.ID != "w0" {
						starts++
						continue
					}
					if born.IsZero() && o.Kind == cell.OrderStart && c.starts > 0 {
						c.starts--
						b.HandleReply(b.now, o, rock.Reply{}, errors.New("no answer"))
						continue
					}
					b.HandleReply(b.now, o, rock.Reply{Refusal: c.refusal, Clock: b.clock()}, nil)
				}
				return starts
			}
			for range 600 {
				pass(time.Time{})
			}
			b.AddJob(b.now, job(jobID, step(1)), 8)
			for range 20 {
				pass(time.Time{})
			}
			assert.Equal(t, c.starts, 0)
			b.registered = append(b.registered, b.registered[0])
			b.registered[1].ID = "w1"
			b.SetWorkers(b.now, b.registered)
			born := b.now
			for b.now.Before(born.Add(longest + 2*time.Second)) {
				if pass(born) > 0 {
					assert.Assert(t, b.now.Sub(born) >= longest, "an order may still arrive")
					return
				}
			}
			t.Errorf("the task waits\n%s", b.Describe(b.now, jobID))
		})
	}
}
