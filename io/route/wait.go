package route

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/retry"
	"bramleyrock/core/sched"
)

// leaseMargin is how much longer than its deadline a task may run before the
// target stops it.
const leaseMargin = time.Second

// lateRetry is the wait that is suggested after a wait that was too long.
const lateRetry = time.Second

// admit queues a new request and waits until it is granted a host.
func (e *Engine) admit(ctx context.Context, r rock.Request) (sched.Grant, error) {
	return e.wait(ctx, r, func(now time.Time) (sched.Ticket, error) { return e.sched.Submit(now, r) })
}

// resume queues a request again and waits until it is granted a host.
func (e *Engine) resume(ctx context.Context, r rock.Request, h *retry.History) (sched.Grant, error) {
	return e.wait(ctx, r, func(now time.Time) (sched.Ticket, error) { return e.sched.Requeue(now, r, h.TriedHosts()) })
}

// wait queues a request and waits until it is granted a host. A request whose
// context ends is taken out of the queue; if it has just been granted a host,
// the host is given back.
func (e *Engine) wait(ctx context.Context, r rock.Request, enqueue func(now time.Time) (sched.Ticket, error)) (sched.Grant, error) {
	called := make(chan turn, 1)
	begin := e.settings.Now()
	ticket, err := e.enqueue(r, called, enqueue)
	if err != nil {
		return sched.Grant{}, err
	}
	select {
	case t := <-called:
		e.noteWait(r.Pool(), e.settings.Now().Sub(begin))
		return t.grant, t.err
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	end := endOf(ctx, r)
	if e.sched.Withdraw(ticket) {
		delete(e.waiters, ticket)
		return sched.Grant{}, end
	}
	if t := <-called; t.err == nil {
		e.sched.Finish(e.settings.Now(), t.grant, 0, end)
		e.dispatch(r.Pool())
	}
	return sched.Grant{}, end
}

// enqueue queues a request that is called over the channel.
func (e *Engine) enqueue(r rock.Request, called chan turn, enqueue func(now time.Time) (sched.Ticket, error)) (sched.Ticket, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.settings.Now()
	if err := e.refresh(now); err != nil {
		return sched.Ticket{}, err
	}
	ticket, err := enqueue(now)
	if err != nil {
		return sched.Ticket{}, err
	}
	e.waiters[ticket] = called
	e.dispatch(r.Pool())
	return ticket, nil
}

// run runs a granted request on its host.
func (e *Engine) run(ctx context.Context, g sched.Grant) (rock.Answer, error) {
	r, host := g.Request(), g.Host()
	begin := e.settings.Now()
	lease := r.Deadline().Sub(begin) + leaseMargin
	task := rock.NewTask(e.taskID(r), r.Pool(), host.Generation(), lease, r.Deadline(), r.Payload())
	answer, err := e.settings.Target.Run(ctx, host, task)
	end := e.settings.Now()
	e.mu.Lock()
	e.sched.Finish(end, g, end.Sub(begin), err)
	e.dispatch(r.Pool())
	e.mu.Unlock()
	if err != nil {
		return rock.Answer{}, err
	}
	return rock.NewAnswer(r.ID(), host.Name(), answer.Payload()), nil
}

// stranded returns the failure of a waiting request whose pool has no open host
// left in the zone.
func stranded(pool string) error {
	return rock.Fail("wait", "pool "+pool, rock.NoHost, rock.NotRun).Becausef("the pool's last open host in the zone was closed")
}

// late returns the failure of a waiting request that has too little time left.
func late(pool string) error {
	return rock.Fail("wait", "pool "+pool, rock.Overloaded, rock.NotRun).RetryIn(lateRetry).Becausef("the wait was longer than predicted, and the time left is too short to run")
}

// endOf returns the failure of a waiting request whose context ended.
func endOf(ctx context.Context, r rock.Request) *rock.Failure {
	reason := rock.Cancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = rock.DeadlineExceeded
	}
	return rock.Fail("wait", "pool "+r.Pool(), reason, rock.NotRun).Because(ctx.Err())
}
