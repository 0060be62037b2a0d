package site

import (
	"context"
	"fmt"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
)

// dispatchOrders gives orders to workers, each in a goroutine of its own.
func (o *cellOwner) dispatchOrders(orders []cell.Order) {
	o.logOrders(orders)
	decided := o.site.now()
	for _, d := range orders {
		o.group.Go("order", func(ctx context.Context) error {
			o.sendOrder(ctx, d, decided)
			return nil
		})
	}
}

// maxStartDelay is how long after the decision a start may be sent. What was
// decided may not hold any more when a process goes on after a freeze.
const maxStartDelay = 500 * time.Millisecond

// sendOrder gives one order and takes in the answer.
func (o *cellOwner) sendOrder(ctx context.Context, d cell.Order, decided time.Time) {
	sent := o.site.now()
	var p rock.Reply
	var err error
	switch d.Kind {
	case cell.OrderAdvise:
		o.askAdviser(ctx, d)
		return
	case cell.OrderPace:
		p, err = o.site.settings.Workers.Throttle(ctx, d.Worker, d.Pace)
	case cell.OrderStart:
		if late := sent.Sub(decided); late > maxStartDelay {
			err = rock.Fail("start", d.Worker.ID, rock.Unavailable, rock.NotRun).Becausef("the entry runs %v late", late)
			o.enqueue(ctx, func(now time.Time) { o.state.HandleReply(now, d, p, err) })
			return
		}
		p, err = o.site.settings.Workers.Start(ctx, d.Worker, d.Start)
		o.site.meters.startTime.RecordDuration(o.site.now().Sub(sent))
		o.site.meters.started.Inc(1)
		if p.Refusal != rock.Accepted {
			o.site.meters.notStarted.Inc(1)
		}
	default:
		p, err = o.site.settings.Workers.Stop(ctx, d.Worker, d.Stop)
		o.site.meters.stopped.Inc(1)
	}
	o.enqueue(ctx, func(now time.Time) {
		o.state.HandleReply(now, d, p, err)
		if err != nil {
			o.state.HandleUnanswered(now, sent, d.Worker.ID, !o.site.lateness.lateSince(sent), err)
		}
		o.changed = true
	})
}

// askAdviser asks the adviser and takes in the answer.
func (o *cellOwner) askAdviser(ctx context.Context, d cell.Order) {
	var tickets []rock.Ticket
	var valid time.Duration
	err := fmt.Errorf("no adviser is configured")
	if a := o.site.settings.Adviser; a != nil {
		tickets, valid, err = a.Advise(ctx, d.Step, d.Workers)
	}
	o.enqueue(ctx, func(now time.Time) {
		o.state.HandleAdvice(now, d, tickets, valid, err)
		o.changed = true
	})
}

// logOrders writes a line for each job with orders.
func (o *cellOwner) logOrders(orders []cell.Order) {
	type group struct {
		job  string
		kind cell.OrderKind
		why  string
	}
	lines := map[group]*strings.Builder{}
	var order []group
	for _, d := range orders {
		g := group{d.Job, d.Kind, d.Reason}
		b := lines[g]
		if b == nil {
			b = &strings.Builder{}
			lines[g] = b
			order = append(order, g)
		}
		task, run := d.Start.Task, d.Start.Run
		switch d.Kind {
		case cell.OrderStop:
			task, run = d.Stop.Task, d.Stop.Run
		case cell.OrderPace:
			task, run = d.Pace.Task, d.Pace.Run
		case cell.OrderAdvise:
			task = d.Step
		}
		fmt.Fprintf(b, "%s/%d@%s ", strings.TrimPrefix(task, d.Job+"."), run, d.Worker.ID)
	}
	for _, g := range order {
		e := o.log.WithField("job", g.job).WithField("runs", strings.TrimSpace(lines[g].String())).WithField("fence", o.fence)
		if g.why != "" {
			e = e.WithField("reason", g.why)
		}
		e.Info("Tasks: " + string(g.kind) + ".")
	}
}

// startPollers keeps a goroutine for each worker that asks for its reports.
func (o *cellOwner) startPollers() {
	for id := range o.state.Workers() {
		if o.pollers[id] {
			continue
		}
		o.pollers[id] = true
		o.group.Go("hold "+id, func(ctx context.Context) error {
			o.pollWorker(ctx, id)
			o.enqueue(ctx, func(time.Time) { delete(o.pollers, id) })
			return nil
		})
	}
}

// leaseQuery is the next hold order for a worker.
type leaseQuery struct {
	worker     rock.Worker
	order      rock.RenewOrder
	known      bool
	leaseValid bool
	// unstored is true if the worker would answer at once with what is known.
	unstored bool
}

const (
	// unstoredRetryDelay is the time between looks whether a worker's last ends are
	// stored, about as long as a write takes.
	unstoredRetryDelay = 15 * time.Millisecond
	// maxUnstoredDelay is how long a worker is not asked for that reason: in a slow
	// spell of the table its new ends are wanted before the old ones are
	// stored.
	maxUnstoredDelay = 120 * time.Millisecond
)

// pollWorker asks a worker for reports until it is not to be asked any more.
func (o *cellOwner) pollWorker(ctx context.Context, id string) {
	answers := make(chan leaseQuery, 1)
	wait := time.Duration(0) // the first answer is wanted at once
	var rested time.Duration
	for ctx.Err() == nil {
		o.enqueue(ctx, func(now time.Time) {
			q := leaseQuery{leaseValid: now.Before(o.lease.ValidUntil()), known: true}
			q.unstored = rested < maxUnstoredDelay && o.state.HasUnstoredEnds(id)
			if q.leaseValid && !q.unstored {
				q.worker, q.order, q.known = o.state.HoldOrder(now, id, wait)
			}
			answers <- q
		})
		var q leaseQuery
		select {
		case q = <-answers:
		case <-ctx.Done():
			return
		}
		if !q.known {
			return
		}
		if q.unstored {
			rested += unstoredRetryDelay
			_ = sleep(ctx, unstoredRetryDelay) // the loop's condition sees the end
			continue
		}
		rested = 0
		if !q.leaseValid {
			_ = sleep(ctx, leaseOrderRetryDelay) // the loop's condition sees the end
			continue
		}
		sent := o.site.now()
		p, err := o.site.settings.Workers.RenewLease(ctx, q.worker, q.order)
		if ctx.Err() != nil {
			return
		}
		o.enqueue(ctx, func(now time.Time) {
			if err != nil {
				o.state.HandleUnanswered(now, sent, id, !o.site.lateness.lateSince(sent), err)
			} else {
				o.state.HandleReport(now, sent, id, p)
			}
			o.changed = true
		})
		wait = leaseOrderWait
		if err != nil {
			wait = 0
			_ = sleep(ctx, leaseOrderRetryDelay) // the loop's condition sees the end
		}
	}
}
