package route

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/retry"
	"bramleyrock/core/sched"
)

// leaseMargin is how long after its deadline a task may run before the target
// stops it.
const leaseMargin = time.Second

// lateRetryDelay is the retry delay suggested to the caller of a request that
// waited too long to run.
const lateRetryDelay = time.Second

// submit queues a new request and waits for a host.
func (e *Engine) submit(ctx context.Context, r rock.Request) (sched.Grant, error) {
	return e.wait(ctx, r, func(now time.Time) (sched.Ticket, error) { return e.sched.Submit(now, r) })
}

// requeue queues a request again after a failed attempt and waits for a host.
func (e *Engine) requeue(ctx context.Context, r rock.Request, h *retry.History) (sched.Grant, error) {
	return e.wait(ctx, r, func(now time.Time) (sched.Ticket, error) { return e.sched.Requeue(now, r, h.TriedHosts()) })
}

// wait queues a request and waits until it is granted a host or refused. If ctx
// ends first, it removes the request from the queue, or releases the host that
// was granted in the meantime.
func (e *Engine) wait(ctx context.Context, r rock.Request, enqueue func(now time.Time) (sched.Ticket, error)) (sched.Grant, error) {
	results := make(chan waitResult, 1)
	begin := e.settings.Now()
	ticket, err := e.enqueue(r, results, enqueue)
	if err != nil {
		return sched.Grant{}, err
	}
	select {
	case result := <-results:
		e.recordWait(r.Pool(), e.settings.Now().Sub(begin))
		return result.grant, result.err
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	failure := contextFailure(ctx, r)
	if e.sched.Withdraw(ticket) {
		delete(e.waiters, ticket)
		return sched.Grant{}, failure
	}
	if result := <-results; result.err == nil {
		e.sched.Finish(e.settings.Now(), result.grant, 0, failure)
		e.dispatch(r.Pool())
	}
	return sched.Grant{}, failure
}

// enqueue queues a request. The result of its wait will be sent to results,
// which must have a buffer of one.
func (e *Engine) enqueue(r rock.Request, results chan waitResult, enqueue func(now time.Time) (sched.Ticket, error)) (sched.Ticket, error) {
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
	e.waiters[ticket] = results
	e.dispatch(r.Pool())
	return ticket, nil
}

// runTask runs a request as a task on the host that it was granted.
func (e *Engine) runTask(ctx context.Context, g sched.Grant) (rock.Answer, error) {
	r, host := g.Request(), g.Host()
	begin := e.settings.Now()
	lease := r.Deadline().Sub(begin) + leaseMargin
	task := rock.NewTask(e.newTaskID(r), r.Pool(), host.Generation(), lease, r.Deadline(), r.Payload())
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

// noHostFailure returns the failure of a waiting request whose pool has no open
// host left in the zone.
func noHostFailure(pool string) error {
	return rock.Fail("wait", "pool "+pool, rock.NoHost, rock.NotRun).Becausef("the pool's last open host in the zone was closed")
}

// lateFailure returns the failure of a waiting request that has too little time
// left to run before its deadline.
func lateFailure(pool string) error {
	return rock.Fail("wait", "pool "+pool, rock.Overloaded, rock.NotRun).RetryIn(lateRetryDelay).Becausef("the wait was longer than predicted, and the time left is too short to run")
}

// contextFailure returns the failure of a waiting request whose context ended.
func contextFailure(ctx context.Context, r rock.Request) *rock.Failure {
	reason := rock.Cancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = rock.DeadlineExceeded
	}
	return rock.Fail("wait", "pool "+r.Pool(), reason, rock.NotRun).Because(ctx.Err())
}
