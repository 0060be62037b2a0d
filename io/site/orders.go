package site

import (
	"context"
	"fmt"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
)

// dispatchOrders sends orders to workers, each in its own goroutine.
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

// maxStartDelay is how long after the decision a start may be sent. The decision may be
// outdated if the process was suspended in between.
const maxStartDelay = 500 * time.Millisecond

// sendOrder sends one order and handles the answer.
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
		if err != nil && !isOwnLimit(err) {
			o.state.HandleUnanswered(now, sent, d.Worker.ID, !o.site.lateness.lateSince(sent), err)
		}
		o.changed = true
	})
}

// isOwnLimit reports whether an order was not sent because of a limit of this process, which
// says nothing about the worker.
func isOwnLimit(err error) bool {
	return rock.ReasonOf(err) == rock.Overloaded && rock.VerdictOf(err) == rock.NotRun
}

// askAdviser asks the adviser about a step and handles the answer.
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

// logOrders logs the orders, in one entry for each job, kind and reason.
func (o *cellOwner) logOrders(orders []cell.Order) {
	type orderGroup struct {
		job    string
		kind   cell.OrderKind
		reason string
	}
	runs := map[orderGroup]*strings.Builder{}
	var groups []orderGroup
	for _, d := range orders {
		g := orderGroup{d.Job, d.Kind, d.Reason}
		b := runs[g]
		if b == nil {
			b = &strings.Builder{}
			runs[g] = b
			groups = append(groups, g)
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
	for _, g := range groups {
		e := o.log.WithField("job", g.job).WithField("runs", strings.TrimSpace(runs[g].String())).WithField("fence", o.fence)
		if g.reason != "" {
			e = e.WithField("reason", g.reason)
		}
		e.Info("Tasks: " + string(g.kind) + ".")
	}
}

// startPollers starts a goroutine for each worker that has none. It renews the worker's
// lease and asks for its reports.
func (o *cellOwner) startPollers() {
	for id := range o.state.Workers() {
		if o.pollers[id] {
			continue
		}
		o.pollers[id] = true
		o.group.Go("poll worker "+id, func(ctx context.Context) error {
			o.pollWorker(ctx, id)
			o.enqueue(ctx, func(time.Time) { delete(o.pollers, id) })
			return nil
		})
	}
}

// leaseQuery asks the owner's loop for the next lease order for a worker.
type leaseQuery struct {
	worker rock.Worker
	order  rock.RenewOrder
	// known is false if the worker must not be polled any more.
	known bool
	// leaseValid is true while the owner's lease on the cell is valid.
	leaseValid bool
	// unstored is true if the worker listed ends that are not stored yet. It would
	// list them again at once.
	unstored bool
}

const (
	// unstoredRetryDelay is the time between checks whether the ends that a worker
	// listed are stored. A write takes about as long.
	unstoredRetryDelay = 15 * time.Millisecond
	// maxUnstoredDelay is how long a worker is not polled because its ends are not
	// stored. While the table is slow, new ends are needed before the old ones are
	// stored.
	maxUnstoredDelay = 120 * time.Millisecond
)

// pollWorker renews the lease of a worker and handles its reports, until the worker
// must not be polled any more or ctx ends.
func (o *cellOwner) pollWorker(ctx context.Context, id string) {
	answers := make(chan leaseQuery, 1)
	wait := time.Duration(0) // the first report is needed at once
	var delayed time.Duration
	for ctx.Err() == nil {
		o.enqueue(ctx, func(now time.Time) {
			q := leaseQuery{leaseValid: now.Before(o.lease.ValidUntil()), known: true}
			q.unstored = delayed < maxUnstoredDelay && o.state.HasUnstoredEnds(id)
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
			delayed += unstoredRetryDelay
			_ = sleep(ctx, unstoredRetryDelay) // the loop condition checks ctx
			continue
		}
		delayed = 0
		if !q.leaseValid {
			_ = sleep(ctx, leaseOrderRetryDelay) // the loop condition checks ctx
			continue
		}
		sent := o.site.now()
		p, err := o.site.settings.Workers.RenewLease(ctx, q.worker, q.order)
		if ctx.Err() != nil {
			return
		}
		o.enqueue(ctx, func(now time.Time) {
			switch {
			case err == nil:
				o.state.HandleReport(now, sent, id, p)
			case !isOwnLimit(err):
				o.state.HandleUnanswered(now, sent, id, !o.site.lateness.lateSince(sent), err)
			}
			o.changed = true
		})
		wait = leaseOrderWait
		if err != nil || p.Refusal != rock.Accepted {
			wait = 0
			_ = sleep(ctx, leaseOrderRetryDelay) // the loop condition checks ctx
		}
	}
}
