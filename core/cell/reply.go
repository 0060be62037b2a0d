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
		c.handleOrderError(now, o, err)
		return
	}
	switch p.Refusal {
	case rock.RefusedFence:
		c.fenced = true
		return
	case rock.RefusedIdentity:
		c.loseWorker(now, r.worker, "another life answers at its address")
		return
	}
	r.worker.answeredAt, r.worker.unresponsive = now, false
	if o.Kind == OrderStop {
		c.handleStopReply(now, r, p)
		return
	}
	c.handleStartReply(now, o, p)
}

// handleStartReply takes in a worker's answer to a start.
func (c *Cell) handleStartReply(now time.Time, o Order, p rock.Reply) {
	r, w := o.run, o.run.worker
	if r.state == stopping {
		return // the stop settles it
	}
	switch p.Refusal {
	case rock.Accepted, rock.RefusedStaleRun:
		// An older or equal run ended or was stopped there: the worker's next
		// report tells which.
		r.state, r.answeredAt = running, now
		c.markStarted(now, r)
		return
	case rock.RefusedCapacity:
		w.backoffUntil = now.Add(fullBackoff)
	case rock.RefusedLeaseExpired:
		w.clock, w.clockAt = p.Clock, now
	case rock.RefusedTicket:
		r.task.step.advice.validUntil = time.Time{}
	case rock.RefusedBusy:
		w.backoffUntil = now.Add(busyBackoff)
		c.outliers.Record(now, w.health, true)
	}
	c.addEvent("start refused", r, string(p.Refusal))
	if r.startUnanswered {
		c.stopRun(r, "an earlier copy of its refused start may still arrive")
		return
	}
	w.removeRun(r)
}

// handleStopReply takes in a worker's answer to a stop: the run ends soon, or never
// starts.
func (c *Cell) handleStopReply(now time.Time, r *run, p rock.Reply) {
	if p.Refusal == rock.RefusedBusy {
		r.orderedAt = now
		return
	}
	if r.answeredAt.IsZero() {
		r.answeredAt = now
	}
}

// handleOrderError notes an order whose answer was lost or that could not be sent.
func (c *Cell) handleOrderError(now time.Time, o Order, err error) {
	r := o.run
	if rock.VerdictOf(err) == rock.NotRun && o.Kind == OrderStart && !r.startUnanswered && r.state == starting {
		c.addEvent("start not sent", r, err.Error())
		r.worker.removeRun(r)
		r.worker.backoffUntil = now.Add(busyBackoff)
		return
	}
	if o.Kind == OrderStart {
		r.startUnanswered = true
	}
	r.orderedAt = now
	c.addEvent(string(o.Kind)+" unanswered", r, fmt.Sprint(err))
}
