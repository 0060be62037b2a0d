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
