package route

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/sched"
)

// leaseMargin is how much longer than its deadline a task may run before the
// target stops it.
const leaseMargin = time.Second

// Do runs a request of a caller and returns its whole answer. A request that
// is not idempotent and has an idempotency key runs at most once.
func (e *Engine) Do(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if r.IdempotencyKey() != "" && !r.Idempotent() {
		return e.once(ctx, r)
	}
	if err := e.enter(); err != nil {
		return rock.Answer{}, err
	}
	defer e.exit()
	return e.try(ctx, r)
}

// ServeForward runs a request that a peer forwarded.
func (e *Engine) ServeForward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if r.Hops() > e.settings.Limits.Hops {
		return rock.Answer{}, rock.Fail("forward", "request "+r.ID(), rock.BadInput, rock.NotRun).Becausef("%d hops, at most %d are allowed", r.Hops(), e.settings.Limits.Hops)
	}
	if r.Hops() == 0 {
		r = r.Forwarded()
	}
	return e.Do(ctx, r)
}

// try tries the request until it is answered or must not be tried again.
func (e *Engine) try(ctx context.Context, r rock.Request) (rock.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	history := newHistory(r)
	for {
		answer, err := e.attempt(ctx, r, history)
		if err == nil {
			return answer, nil
		}
		history.add(err)
		if ctx.Err() != nil || !e.again(r, history, err) {
			return rock.Answer{}, history.failure(err)
		}
	}
}

// again reports whether the request may be tried once more.
func (e *Engine) again(r rock.Request, h *history, err error) bool {
	if h.attempts >= e.settings.Limits.Attempts {
		return false
	}
	if !h.sent {
		return false
	}
	return rock.VerdictOf(err).Retryable(r.Idempotent())
}

// attempt tries the request once, at a peer or on a host of the zone.
func (e *Engine) attempt(ctx context.Context, r rock.Request, h *history) (rock.Answer, error) {
	h.sent = false
	if peer := e.elsewhere(r, h); peer != nil {
		h.forwarded = true
		answer, err := peer.Forward(ctx, r)
		if err == nil || rock.VerdictOf(err) != rock.NotRun {
			h.sent = true
			return answer, err
		}
	}
	grant, err := e.wait(ctx, r, h.tried)
	if err != nil {
		return rock.Answer{}, err
	}
	h.sent = true
	h.tried = append(h.tried, grant.Host().Name())
	return e.run(ctx, grant)
}

// wait queues the request until it is granted a host.
func (e *Engine) wait(ctx context.Context, r rock.Request, avoid []string) (sched.Grant, error) {
	granted := make(chan sched.Grant, 1)
	e.mu.Lock()
	ticket, err := e.submit(r, avoid, granted)
	e.mu.Unlock()
	if err != nil {
		return sched.Grant{}, err
	}
	select {
	case g := <-granted:
		return g, nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	gaveUp := endOf(ctx, "wait", r)
	if e.sched.Withdraw(ticket) {
		delete(e.waiters, ticket)
		return sched.Grant{}, gaveUp
	}
	g := <-granted
	e.sched.Finish(e.settings.Now(), g, 0, gaveUp)
	e.dispatch(r.Pool())
	return sched.Grant{}, gaveUp
}

// submit queues the request. The lock is held.
func (e *Engine) submit(r rock.Request, avoid []string, granted chan sched.Grant) (sched.Ticket, error) {
	now := e.settings.Now()
	if err := e.refresh(now); err != nil {
		return sched.Ticket{}, err
	}
	ticket, err := e.sched.Submit(now, r, avoid)
	if err != nil {
		return sched.Ticket{}, err
	}
	e.waiters[ticket] = granted
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

// endOf returns the failure of a request, not sent, whose context ended.
func endOf(ctx context.Context, op string, r rock.Request) *rock.Failure {
	reason := rock.Cancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = rock.DeadlineExceeded
	}
	return rock.Fail(op, "pool "+r.Pool(), reason, rock.NotRun).Because(ctx.Err())
}
