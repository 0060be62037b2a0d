package cell

import (
	"fmt"
	"time"

	rock "bramleyrock"
)

// HandleReply handles the reply to an order, or the error if there is none. A reply says
// nothing about renewals: only a report ends the worker's unresponsiveness.
func (c *Cell) HandleReply(now time.Time, o Order, reply rock.Reply, err error) {
	r := o.run
	if o.Kind == OrderPace {
		return // the next report states the percentage in force
	}
	r.inFlight = false
	if r.worker.runs[r.id()] != r {
		return // the run is over
	}
	if err != nil {
		c.handleOrderError(now, o, err)
		return
	}
	switch reply.Refusal {
	case rock.RefusedFence:
		c.fenced = true
		return
	case rock.RefusedIdentity:
		c.handleOtherIdentity(now, r.orderedAt, r.worker)
		return // the order is repeated if the worker has reported since it was sent
	}
	c.checkClock(now, r.orderedAt, r.worker, reply.Clock)
	if o.Kind == OrderStop {
		c.handleStopReply(now, r, reply)
		return
	}
	c.handleStartReply(now, o, reply)
}

// checkClock compares the clock in a worker's reply to an order, sent at the given time, with an
// earlier reading; it is 0 if the reply has none. If it was set back, the worker has restarted, and
// limits the lease in the order, a time of the former clock, to its longest lease. The next report
// of the new incarnation tells more; one of the former may still arrive.
func (c *Cell) checkClock(now, sent time.Time, w *worker, clock time.Duration) {
	if clock <= 0 || clock >= w.clock || sent.Before(w.clockAt) {
		return
	}
	c.addEvent("worker clock set back", nil, fmt.Sprintf("worker %s from %v to %v", w.id(), w.clock, clock))
	longest := time.Duration(float64(c.settings.MaxLeaseDuration+restartSlack) / minClockRate)
	w.restartLeaseEnd, w.maybeRestarted = later(w.restartLeaseEnd, now.Add(longest)), true
}

// handleStartReply handles a worker's reply to a start.
func (c *Cell) handleStartReply(now time.Time, o Order, reply rock.Reply) {
	r, w := o.run, o.run.worker
	switch reply.Refusal {
	case rock.Accepted:
	case rock.RefusedCapacity, rock.RefusedStaleRun:
		w.backOff(now, fullBackoff)
	case rock.RefusedLeaseExpired:
		w.clock, w.clockAt = reply.Clock, now
		w.backOff(now, fullBackoff)
	case rock.RefusedTicket:
		r.task.step.advice.validUntil = time.Time{}
	default:
		w.backOff(now, busyBackoff)
		c.outliers.Record(now, w.health, true)
	}
	mayRun := reply.Refusal == rock.Accepted || reply.Refusal == rock.RefusedStaleRun
	if r.state == stopping && (mayRun || r.startUnanswered) {
		return // the reply to the stop decides
	}
	if mayRun {
		// If the run is stale, it or a later run of the task has ended or was
		// stopped on the worker. The next report tells which.
		r.state, r.answeredAt, r.confirmedAt = running, now, now
		c.markStarted(now, r)
		return
	}
	c.addEvent("start refused", r, string(reply.Refusal))
	if r.startUnanswered {
		c.stopRun(r, "an unanswered copy of the refused start may still arrive")
	} else {
		w.removeRun(r)
	}
	c.stopGang(r)
}

// stopGang stops the other runs of a gang of which one run does not start. They would
// wait in vain.
func (c *Cell) stopGang(r *run) {
	if r.task == nil || !r.task.step.Gang {
		return
	}
	for _, t := range r.task.step.tasks {
		if m := t.current; m != nil && m != r && m.number == r.number {
			c.stopRun(m, "a run of its gang does not start")
		}
	}
}

// handleStopReply handles a worker's reply to a stop. Unless the worker refused
// it as busy or for an unknown reason, the run ends soon or never starts.
func (c *Cell) handleStopReply(now time.Time, r *run, reply rock.Reply) {
	if reply.Refusal == rock.RefusedBusy || reply.Refusal == rock.RefusedOther {
		r.orderedAt = now
		return
	}
	if r.answeredAt.IsZero() {
		r.answeredAt = now
	}
}

// handleOrderError handles an order that could not be sent or had no reply.
func (c *Cell) handleOrderError(now time.Time, o Order, err error) {
	r := o.run
	if rock.VerdictOf(err) == rock.NotRun && o.Kind == OrderStart && !r.startUnanswered && r.state == starting {
		c.addEvent("start not sent", r, err.Error())
		r.worker.removeRun(r)
		r.worker.backOff(now, busyBackoff)
		c.stopGang(r)
		return
	}
	c.addEvent(string(o.Kind)+" unanswered", r, fmt.Sprint(err))
	if o.Kind != OrderStart {
		return
	}
	if !r.startUnanswered || r.state != starting {
		r.startUnanswered = true
		r.worker.backOff(now, busyBackoff)
		return
	}
	r.worker.backOff(now, unansweredBackoff)
	c.outliers.Record(now, r.worker.health, true)
	c.stopRun(r, "two starts were unanswered")
	c.stopGang(r)
}
