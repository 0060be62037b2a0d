package cell

import (
	"fmt"
	"time"

	rock "bramleyrock"
)

// HandleReply takes in the answer to an order.
func (c *Cell) HandleReply(now time.Time, o Order, p rock.Reply, err error) {
	r := o.run
	if o.Kind == OrderPace {
		return // the next report tells the run's pace
	}
	r.inFlight = false
	if r.worker.runs[r.id()] != r {
		return // the run is over
	}
	if err != nil {
		c.unanswered(now, o, err)
		return
	}
	switch p.Refusal {
	case rock.RefusedFence:
		c.fenced = true
		return
	case rock.RefusedIdentity:
		c.vanish(now, r.worker, "another life answers at its address")
		return
	}
	r.worker.answeredAt, r.worker.silent = now, false
	if o.Kind == OrderStop {
		c.stopped(now, r, p)
		return
	}
	c.started(now, o, p)
}

// started takes in a worker's answer to a start.
func (c *Cell) started(now time.Time, o Order, p rock.Reply) {
	r, w := o.run, o.run.worker
	if r.state == stopping {
		return // the stop settles it
	}
	switch p.Refusal {
	case rock.Accepted, rock.RefusedStaleRun:
		// An older or equal run ended or was stopped there: the worker's next
		// report tells which.
		r.state, r.answeredAt = running, now
		c.begin(now, r)
		return
	case rock.RefusedCapacity:
		w.restUntil = now.Add(fullRest)
	case rock.RefusedLeaseExpired:
		w.clock, w.clockAt = p.Clock, now
	case rock.RefusedTicket:
		r.task.step.advice.until = time.Time{}
	case rock.RefusedBusy:
		w.restUntil = now.Add(busyRest)
		c.watch.Record(now, w.health, true)
	}
	c.note("start refused", r, string(p.Refusal))
	if r.unanswered {
		c.stop(r, "an earlier copy of its refused start may still arrive")
		return
	}
	w.remove(r)
}

// stopped takes in a worker's answer to a stop: the run ends soon, or never
// starts.
func (c *Cell) stopped(now time.Time, r *run, p rock.Reply) {
	if p.Refusal == rock.RefusedBusy {
		r.orderedAt = now
		return
	}
	if r.answeredAt.IsZero() {
		r.answeredAt = now
	}
}

// unanswered notes an order whose answer was lost or that could not be sent.
func (c *Cell) unanswered(now time.Time, o Order, err error) {
	r := o.run
	if rock.VerdictOf(err) == rock.NotRun && o.Kind == OrderStart && !r.unanswered && r.state == starting {
		c.note("start not sent", r, err.Error())
		r.worker.remove(r)
		r.worker.restUntil = now.Add(busyRest)
		return
	}
	if o.Kind == OrderStart {
		r.unanswered = true
	}
	r.orderedAt = now
	c.note(string(o.Kind)+" unanswered", r, fmt.Sprint(err))
}
