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

// TestTaskWaitsForWorkersWithTickets guards against a task that waits until its tickets
// expire, because the workers that have one cannot run it while others can.
func TestTaskWaitsForWorkersWithTickets(t *testing.T) {
	cases := map[string]struct {
		arrange func(b *harness)
		refused bool // the adviser allows no other worker
		starts  int
		queries int
	}{
		"it takes tasks":   {func(*harness) {}, false, 1, 1},
		"its host is gone": {func(b *harness) { b.MarkWorkerGone(b.now, "w0", "its host was taken down") }, false, 1, 2},
		"it does not answer": {func(b *harness) {
			b.HandleUnanswered(b.now, b.now, "w0", true, errors.New("no answer"))
		}, false, 1, 2},
		"the platform drains it": {func(b *harness) { b.registered[0].State = rock.WorkerDraining }, false, 1, 2},
		"it is full":             {func(b *harness) { b.registered[0].Capacity.MilliCores = 500 }, false, 1, 2},
		"the others may not":     {func(b *harness) { b.registered[0].State = rock.WorkerDraining }, true, 0, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2, RequiresTicket: true}})
			b.AddJob(b.now, job(jobID, step(1)), 9)
			queries, starts := 0, 0
			decide := func() {
				orders := b.Decide(b.now)
				b.flush()
				for _, o := range append(orders, b.Decide(b.now)...) {
					if o.Kind == cell.OrderStart {
						starts++
						b.HandleReply(b.now, o, rock.Reply{Clock: b.clock()}, nil)
					}
					if o.Kind != cell.OrderAdvise {
						continue
					}
					queries++
					var tickets []rock.Ticket
					for _, id := range o.Workers {
						if id == "w0" || !c.refused {
							tickets = append(tickets, rock.Ticket{Worker: id, Ticket: "t"})
						}
					}
					b.HandleAdvice(b.now, o, tickets, time.Minute, nil)
				}
			}
			b.HandleAdvice(b.now, b.Decide(b.now)[0], []rock.Ticket{{Worker: "w0", Ticket: "t"}}, time.Minute, nil)
			queries++
			for _, id := range []string{"w1", "w2", "w3"} {
				w := b.registered[0]
				w.ID = id
				b.registered = append(b.registered, w)
			}
			c.arrange(b)
			b.SetWorkers(b.now, b.registered)
			for i := 0; i < 20 && starts == 0; i++ {
				b.advance(100 * time.Millisecond)
				for _, w := range b.registered[1:] {
					b.report(w.ID, nil, nil)
				}
				b.flush()
				decide()
			}
			assert.Equal(t, starts, c.starts)
			assert.Equal(t, queries, c.queries)
		})
	}
}
