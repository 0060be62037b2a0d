package cell

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
)

// advice is what the adviser said about a step.
type advice struct {
	tickets map[string]string
	// askedWorkers holds the workers about which it was asked; the answer for a
	// worker does not change.
	askedWorkers map[string]bool
	validUntil   time.Time
	// pending is true while a question is under way.
	pending bool
	retryAt time.Time
}

const (
	// maxAdviceWorkers is the number of workers in a question: each costs time,
	// and the users count with thirty.
	maxAdviceWorkers = 30
	// minTicketValidity is left of a ticket's validity for the start to arrive.
	minTicketValidity = 300 * time.Millisecond
	// adviceRetryDelay is the time before a failed question is asked again.
	adviceRetryDelay = 200 * time.Millisecond
	// maxPendingAdvice bounds the questions of a cell that are under way: the
	// adviser answers those of an entry in turn.
	maxPendingAdvice = 4
)

// ensureAdvice reports whether the step's tasks may be placed now. It asks for
// advice if the step needs it and has none.
func (c *Cell) ensureAdvice(now time.Time, s *step, usable []*worker) bool {
	if !s.job.queue.RequiresTicket {
		return true
	}
	a := &s.advice
	if now.Before(a.validUntil.Add(-minTicketValidity)) && len(a.tickets) > 0 {
		return true
	}
	if a.pending || now.Before(a.retryAt) || c.pendingAdvice >= maxPendingAdvice {
		return false
	}
	ids := make([]string, 0, maxAdviceWorkers)
	add := func(wanted func(id string) bool) {
		for _, w := range usable {
			if id := w.id(); len(ids) < maxAdviceWorkers && wanted(id) && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	add(func(id string) bool { return a.tickets[id] != "" })
	add(func(id string) bool { return !a.askedWorkers[id] })
	if len(ids) == 0 {
		clear(a.askedWorkers) // all that are left were refused; workers come and go
		return false
	}
	a.pending = true
	c.pendingAdvice++
	c.adviceOrders = append(c.adviceOrders, Order{Kind: OrderAdvise, Step: fmt.Sprintf("%s.%d.%d", s.job.ID, s.occurrence, s.number), Workers: ids, Job: s.job.ID, Queue: s.job.Queue, step: s})
	return false
}

// HandleAdvice takes in the adviser's answer to a question.
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
	a.tickets = map[string]string{}
	for _, t := range tickets {
		a.tickets[t.Worker] = t.Ticket
	}
	a.validUntil = now.Add(valid)
	c.events = append(c.events, Event{Name: "advice", Job: o.Job, Detail: fmt.Sprintf("step %s: %d of %d workers for %v", o.Step, len(tickets), len(o.Workers), valid)})
}
