package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// advisedTime lets the time pass while the runs on the workers go on. Each query to the
// adviser is answered with tickets for all workers, and each start is accepted. It returns
// the workers on which tasks were started.
func (b *harness) advisedTime(d, valid time.Duration, runs map[string][]rock.Run) []string {
	var started []string
	for end := b.now.Add(d); b.now.Before(end); b.advance(100 * time.Millisecond) {
		for _, w := range b.registered {
			b.report(w.ID, runs[w.ID], nil)
		}
		for _, o := range b.Decide(b.now) {
			switch o.Kind {
			case cell.OrderAdvise:
				var tickets []rock.Ticket
				for _, id := range o.Workers {
					tickets = append(tickets, rock.Ticket{Worker: id, Ticket: "t"})
				}
				b.HandleAdvice(b.now, o, tickets, valid, nil)
			case cell.OrderStart:
				b.HandleReply(b.now, o, rock.Reply{Clock: b.clock()}, nil)
				runs[o.Worker.ID] = append(runs[o.Worker.ID], running(o)...)
				started = append(started, o.Worker.ID)
			}
		}
		b.flush()
	}
	return started
}

// TestTicketsOfFullWorkersDoNotHoldTasksBack guards against a task that waits although
// most of the pool is free, because the workers that have tickets for it are full.
func TestTicketsOfFullWorkersDoNotHoldTasksBack(t *testing.T) {
	cases := map[string]struct {
		valid time.Duration
		// notAsked is true if w1 could not be given tasks when the adviser was asked, and
		// false if it was full when its ticket expired.
		notAsked bool
	}{
		"another worker was not asked about":        {valid: time.Minute, notAsked: true},
		"another worker was full for a while":       {valid: 2 * time.Second},
		"another worker was full, and tickets last": {valid: time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2, nil)
			b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2}, {Name: "advised", Pool: "tins", Attempts: 2, RequiresTicket: true}})
			runs := map[string][]rock.Run{}
			fill := step(1)
			fill.Need.MilliCores = 4000
			b.AddJob(b.now, job("fill", fill), 9)
			filled := b.advisedTime(300*time.Millisecond, c.valid, runs)[0]
			b.SetClosing(map[string]bool{filled: c.notAsked})
			b.AddJob(b.now, job("lasting", persistentStep(1, 0, 3900)), 9)
			waiting := job("waiting", largeStep(1))
			waiting.Queue = "advised"
			b.AddJob(b.now, waiting, 9)
			full := b.advisedTime(5*time.Second, c.valid, runs)
			assert.Equal(t, len(full), 1)
			assert.Assert(t, full[0] != filled)
			b.SetClosing(nil)
			b.report(filled, nil, []rock.End{{Task: "fill.0.0.0", Run: runs[filled][0].Run, Reason: rock.EndDone}})
			runs[filled] = nil
			assert.DeepEqual(t, b.advisedTime(time.Second, c.valid, runs), []string{filled})
		})
	}
}
