package cell

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
)

// advice is the adviser's answer about the tasks of a step.
type advice struct {
	// tickets holds the tickets by worker ID. A start on the worker carries its
	// ticket.
	tickets map[string]string
	// refusedWorkers holds the IDs of the workers that may not run the step. The answer
	// about a worker does not change.
	refusedWorkers map[string]bool
	validUntil     time.Time
	// pending is true while a query has no answer.
	pending bool
	retryAt time.Time
	// repeatAt is when the workers that were refused are asked about again, or zero if
	// others are left.
	repeatAt time.Time
}

// valid reports whether tasks may be placed with the tickets.
func (a *advice) valid(now time.Time) bool {
	return now.Before(a.validUntil.Add(-minTicketValidity)) && len(a.tickets) > 0
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

const (
	// maxAdviceWorkers is the greatest number of workers in a query. Each costs
	// time, and the users expect 30.
	maxAdviceWorkers = 30
	// minTicketValidity is the least remaining validity of a ticket with which a
	// task is placed. It must cover the delivery of the start.
	minTicketValidity = 300 * time.Millisecond
	// adviceRetryDelay is the time before a failed query is sent again.
	adviceRetryDelay = 200 * time.Millisecond
	// adviceRepeatDelay is the time after which the adviser is asked again about workers
	// that it has refused: another one may have started under the ID of one of them. A
	// step that no worker may run then leaves the adviser to the others.
	adviceRepeatDelay = time.Second
	// maxPendingAdvice is the greatest number of unanswered queries of a cell. The
	// adviser answers the queries of an entry one after another.
	maxPendingAdvice = 4
)

// ensureAdvice reports whether the step's tasks may be placed now. It adds a query
// to the adviser if the step needs tickets and has no valid ones.
func (c *Cell) ensureAdvice(now time.Time, s *step, usable []*worker) bool {
	if !s.job.queue.RequiresTicket {
		return true
	}
	if c.mayAskAdviser(now, s) {
		needed := s.countWaiting()
		if !s.Gang {
			needed = min(needed, 1)
		}
		c.adviseFor(now, s, needed, c.withAvoided(now, s, usable))
	}
	return s.advice.valid(now)
}

// mayAskAdviser reports whether a query about the step may be sent now.
func (c *Cell) mayAskAdviser(now time.Time, s *step) bool {
	return !s.advice.pending && !now.Before(s.advice.retryAt) && c.pendingAdvice < maxPendingAdvice
}

// adviseFor adds a query to the adviser unless there are valid tickets with which the given number
// of tasks can be placed on the workers, or no others to ask about.
func (c *Cell) adviseFor(now time.Time, s *step, needed int, workers []*worker) {
	if !s.advice.valid(now) || c.lacksTickets(now, s, needed, workers) {
		c.askAdviser(now, s, workers)
	}
}

// askAdviser adds a query to the adviser about those of the workers that were not refused.
func (c *Cell) askAdviser(now time.Time, s *step, workers []*worker) {
	a := &s.advice
	candidates := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if !a.refusedWorkers[w.id()] {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		a.repeatLater(now)
		return
	}
	ids := make([]string, 0, maxAdviceWorkers)
	add := func(match func(w *worker) bool) {
		for _, w := range candidates {
			if len(ids) < maxAdviceWorkers && match(w) && !slices.Contains(ids, w.id()) {
				ids = append(ids, w.id())
			}
		}
	}
	need := s.Reservation()
	add(func(w *worker) bool { return c.wouldTake(now, s, w) && !c.delaysReservation(need, w) })
	add(func(w *worker) bool { return c.wouldTake(now, s, w) })
	add(func(w *worker) bool { return a.tickets[w.id()] != "" })
	add(func(*worker) bool { return true })
	a.pending, a.repeatAt = true, time.Time{}
	c.pendingAdvice++
	c.adviceOrders = append(c.adviceOrders, Order{Kind: OrderAdvise, Step: fmt.Sprintf("%s.%d.%d", s.job.ID, s.occurrence, s.number), Workers: ids, Job: s.job.ID, Queue: s.job.Queue, step: s})
}

// repeatLater makes the workers that were refused be asked about again after adviceRepeatDelay.
func (a *advice) repeatLater(now time.Time) {
	switch {
	case a.repeatAt.IsZero():
		a.repeatAt = now.Add(adviceRepeatDelay)
	case !now.Before(a.repeatAt):
		clear(a.refusedWorkers)
	}
}

// withAvoided returns the usable workers, and those that are avoided and on which a waiting task
// of the step may be placed by now; see [Cell.chooseAvoided].
func (c *Cell) withAvoided(now time.Time, s *step, usable []*worker) []*worker {
	waited := s.waitedFor(now)
	switch {
	case c.mostlyFree && waited > avoidedWorkerDelay:
		return c.avoidedWorkers(now)
	case (c.mostlyFree || s.Persistent) && waited > closingWorkerDelay:
		return slices.Concat(usable, c.closingWorkers(now))
	}
	return usable
}

// wouldTake reports whether the worker may be given a task of the step, if the adviser
// allows it.
func (c *Cell) wouldTake(now time.Time, s *step, w *worker) bool {
	e := c.taskExclusion(now, s, s.Reservation(), w)
	return e == "" || e == ExcludedNoTicket
}

// lacksTickets reports whether fewer of the workers than needed have tickets of the step and room
// for a task, besides that for which they may be reserved, and others may be asked about.
func (c *Cell) lacksTickets(now time.Time, s *step, needed int, workers []*worker) bool {
	lacking := false
	for _, w := range workers {
		if needed <= 0 || !c.wouldTake(now, s, w) {
			continue
		}
		if s.advice.tickets[w.id()] != "" {
			if !c.delaysReservation(s.Reservation(), w) {
				needed--
			}
		} else if !s.advice.refusedWorkers[w.id()] {
			lacking = true
		}
	}
	return needed > 0 && lacking
}

// countWaiting returns the number of the step's tasks that wait to be placed.
func (s *step) countWaiting() int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && t.current == nil {
			n++
		}
	}
	return n
}

// HandleAdvice handles the adviser's answer to a query, or the error if there is
// none. The tickets are valid for the given time from now.
func (c *Cell) HandleAdvice(now time.Time, o Order, tickets []rock.Ticket, valid time.Duration, err error) {
	a := &o.step.advice
	a.pending = false
	c.pendingAdvice--
	if err != nil {
		a.retryAt = now.Add(adviceRetryDelay)
		c.events = append(c.events, Event{Name: "advice unanswered", Job: o.Job, Detail: err.Error()})
		return
	}
	if a.valid(now) {
		a.validUntil = earlier(a.validUntil, now.Add(valid))
	} else {
		a.tickets, a.validUntil = map[string]string{}, now.Add(valid)
	}
	for _, t := range tickets {
		a.tickets[t.Worker] = t.Ticket
	}
	if a.refusedWorkers == nil {
		a.refusedWorkers = map[string]bool{}
	}
	for _, id := range o.Workers {
		a.refusedWorkers[id] = a.tickets[id] == ""
	}
	c.events = append(c.events, Event{Name: "advice", Job: o.Job, Detail: fmt.Sprintf("step %s: %d of %d workers for %v", o.Step, len(tickets), len(o.Workers), valid)})
}
