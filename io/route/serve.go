package route

import (
	"context"

	rock "bramleyrock"
	"bramleyrock/core/retry"
	"bramleyrock/core/sched"
)

// maxForwards is the maximum number of peers to which a request is forwarded
// before it is queued in the entry's own zone.
const maxForwards = 2

// Do runs a request and returns its complete answer. A request that is not
// idempotent and has an idempotency key runs at most once. The verdict of an
// error tells whether the request may have run.
func (e *Engine) Do(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if r.IdempotencyKey() != "" && !r.Idempotent() {
		return e.doOnce(ctx, r)
	}
	if err := e.beginRequest(); err != nil {
		return rock.Answer{}, err
	}
	defer e.endRequest()
	return e.execute(ctx, r)
}

// ServeForward runs a request that a peer forwarded. It refuses requests that
// were forwarded too often.
func (e *Engine) ServeForward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if r.Hops() > e.settings.Limits.MaxHops {
		return rock.Answer{}, rock.Fail("forward", "request "+r.ID(), rock.BadInput, rock.NotRun).Becausef("%d hops, at most %d are allowed", r.Hops(), e.settings.Limits.MaxHops)
	}
	if r.Hops() == 0 {
		r = r.Forwarded()
	}
	return e.Do(ctx, r)
}

// execute forwards a request to peers or runs it in the entry's own zone. If the
// pool's last open host in the zone is closed while the request waits, execute
// tries the peers and the zone once more.
func (e *Engine) execute(ctx context.Context, r rock.Request) (rock.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	h := retry.NewHistory(r)
	answer, err := e.forwardOrRun(ctx, r, h)
	if rock.ReasonOf(err) == rock.NoHost && rock.VerdictOf(err).Retryable(r.Idempotent()) && ctx.Err() == nil {
		answer, err = e.forwardOrRun(ctx, r, h)
	}
	return answer, err
}

// forwardOrRun forwards a request to the peers that are expected to run it
// sooner than the entry's own zone. If there are none or they refuse it, it runs
// in the own zone.
func (e *Engine) forwardOrRun(ctx context.Context, r rock.Request, h *retry.History) (rock.Answer, error) {
	var asked []string
	for range maxForwards {
		peer := e.choosePeer(r, asked)
		if peer == nil {
			break
		}
		asked = append(asked, peer.Member().Name())
		answer, err := peer.Forward(ctx, r)
		if err == nil {
			return answer, nil
		}
		if rock.VerdictOf(err) == rock.NotRun {
			continue
		}
		h.RecordFailure(err)
		if final := e.checkRetry(ctx, r, h, err); final != nil {
			return rock.Answer{}, final
		}
	}
	return e.runInZone(ctx, r, h)
}

// runInZone runs a request on hosts of the zone until it is answered or must not
// be retried. An attempt that the host refused does not count as a failure,
// unless the request's context has ended.
func (e *Engine) runInZone(ctx context.Context, r rock.Request, h *retry.History) (rock.Answer, error) {
	grant, err := e.submit(ctx, r)
	for {
		if err != nil {
			return rock.Answer{}, h.FinalError(err)
		}
		answer, failed := e.runTask(ctx, grant)
		if failed == nil {
			return answer, nil
		}
		if !sched.Refused(failed) || ctx.Err() != nil {
			h.RecordHost(grant.Host().Name())
			h.RecordFailure(failed)
			if final := e.checkRetry(ctx, r, h, failed); final != nil {
				return rock.Answer{}, final
			}
		}
		grant, err = e.requeue(ctx, r, h)
	}
}

// checkRetry decides whether a request is retried after its last attempt failed
// with err. It returns nil if so, otherwise the failure that ends the request.
func (e *Engine) checkRetry(ctx context.Context, r rock.Request, h *retry.History, err error) error {
	if ctx.Err() != nil {
		return h.FinalError(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sched.Retry(e.settings.Now(), r, h, err)
}
