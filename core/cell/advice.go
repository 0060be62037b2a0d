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
	// asked holds the workers about which it was asked; the answer for a
	// worker does not change.
	asked map[string]bool
	until time.Time
	// open is true while a question is under way.
	open    bool
	retryAt time.Time
}

const (
	// adviceWorkers is the number of workers in a question: each costs time,
	// and the users count with thirty.
	adviceWorkers = 30
	// adviceMargin is left of a ticket's validity for the start to arrive.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the time before a failed question is asked again.
	adviceRetry = 200 * time.Millisecond
	// openQuestions bounds the questions of a cell that are under way: the
	// adviser answers those of an entry in turn.
	openQuestions = 4
)

// advised reports whether the step's tasks may be placed now. It asks for
// advice if the step needs it and has none.
func (c *Cell) advised(now time.Time, s *step, usable []*worker) bool {
	if !s.job.queue.RequiresTicket {
		return true
	}
	a := &s.advice
	if now.Before(a.until.Add(-adviceMargin)) && len(a.tickets) > 0 {
		return true
	}
	if a.open || now.Before(a.retryAt) || c.questions >= openQuestions {
		return false
	}
	ids := make([]string, 0, adviceWorkers)
	add := func(wanted func(id string) bool) {
		for _, w := range usable {
			if id := w.id(); len(ids) < adviceWorkers && wanted(id) && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	add(func(id string) bool { return a.tickets[id] != "" })
	add(func(id string) bool { return !a.asked[id] })
	if len(ids) == 0 {
		clear(a.asked) // all that are left were refused; workers come and go
		return false
	}
	a.open = true
	c.questions++
	c.asks = append(c.asks, Order{Kind: OrderAdvise, Step: fmt.Sprintf("%s.%d.%d", s.job.ID, s.occurrence, s.number), Workers: ids, Job: s.job.ID, Queue: s.job.Queue, step: s})
	return false
}

// HandleAdvice takes in the adviser's answer to a question.
func (c *Cell) HandleAdvice(now time.Time, o Order, tickets []rock.Ticket, valid time.Duration, err error) {
	a := &o.step.advice
	a.open = false
	c.questions--
	if err != nil {
		a.retryAt = now.Add(adviceRetry)
		c.notes = append(c.notes, Event{Name: "advice unanswered", Job: o.Job, Detail: err.Error()})
		return
	}
	if a.asked == nil {
		a.asked = map[string]bool{}
	}
	for _, id := range o.Workers {
		a.asked[id] = true
	}
	a.tickets = map[string]string{}
	for _, t := range tickets {
		a.tickets[t.Worker] = t.Ticket
	}
	a.until = now.Add(valid)
	c.notes = append(c.notes, Event{Name: "advice", Job: o.Job, Detail: fmt.Sprintf("step %s: %d of %d workers for %v", o.Step, len(tickets), len(o.Workers), valid)})
}
