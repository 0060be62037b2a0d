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
	// askedWorkers holds the IDs of the workers that were in a query. The answer
	// about a worker does not change.
	askedWorkers map[string]bool
	validUntil   time.Time
	// pending is true while a query has no answer.
	pending bool
	retryAt time.Time
}

// valid reports whether tasks may be placed with the tickets.
func (a *advice) valid(now time.Time) bool {
	return now.Before(a.validUntil.Add(-minTicketValidity)) && len(a.tickets) > 0
}

// allAsked reports whether all of the workers were in a query.
func (a *advice) allAsked(workers []*worker) bool {
	return !slices.ContainsFunc(workers, func(w *worker) bool { return !a.askedWorkers[w.id()] })
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
	// maxPendingAdvice is the greatest number of unanswered queries of a cell. The
	// adviser answers the queries of an entry one after another.
	maxPendingAdvice = 4
)

// hasUsefulTicket reports whether a worker with a ticket answers and is not drained by the
// platform. While most of the pool is free, it must also have room for a task of the step.
func (c *Cell) hasUsefulTicket(now time.Time, s *step) bool {
	for id := range s.advice.tickets {
		w := c.workers[id]
		if w != nil && w.inService() && (!c.mostlyFree || c.taskExclusion(now, s, s.Reservation(), w) == "") {
			return true
		}
	}
	return false
}

// ensureAdvice reports whether the step's tasks may be placed now. It adds a query
// to the adviser if the step needs tickets and has no valid ones, or only those of workers
// that cannot run its tasks.
func (c *Cell) ensureAdvice(now time.Time, s *step, usable []*worker) bool {
	if !s.job.queue.RequiresTicket {
		return true
	}
	a := &s.advice
	if a.valid(now) && (c.hasUsefulTicket(now, s) || a.allAsked(usable)) {
		return true
	}
	if a.pending || now.Before(a.retryAt) || c.pendingAdvice >= maxPendingAdvice {
		return false
	}
	ids := make([]string, 0, maxAdviceWorkers)
	add := func(match func(id string) bool) {
		for _, w := range usable {
			if id := w.id(); len(ids) < maxAdviceWorkers && match(id) && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	add(func(id string) bool { return a.tickets[id] != "" })
	add(func(id string) bool { return !a.askedWorkers[id] })
	if len(ids) == 0 {
		clear(a.askedWorkers) // all usable workers were refused: ask again, as workers change
		return false
	}
	a.pending = true
	c.pendingAdvice++
	c.adviceOrders = append(c.adviceOrders, Order{Kind: OrderAdvise, Step: fmt.Sprintf("%s.%d.%d", s.job.ID, s.occurrence, s.number), Workers: ids, Job: s.job.ID, Queue: s.job.Queue, step: s})
	return false
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
	if a.askedWorkers == nil {
		a.askedWorkers = map[string]bool{}
	}
	for _, id := range o.Workers {
		a.askedWorkers[id] = true
	}
	if len(tickets) == 0 && a.valid(now) {
		return // the workers with tickets may run tasks again
	}
	a.tickets = map[string]string{}
	for _, t := range tickets {
		a.tickets[t.Worker] = t.Ticket
	}
	a.validUntil = now.Add(valid)
	c.events = append(c.events, Event{Name: "advice", Job: o.Job, Detail: fmt.Sprintf("step %s: %d of %d workers for %v", o.Step, len(tickets), len(o.Workers), valid)})
}
