package route

import (
	"context"

	rock "bramleyrock"
	"bramleyrock/core/retry"
	"bramleyrock/core/sched"
)

// maxForwards is how many peers are asked to run a request that they are
// expected to run sooner.
const maxForwards = 2

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
	if r.Hops() > e.settings.Limits.MaxHops {
		return rock.Answer{}, rock.Fail("forward", "request "+r.ID(), rock.BadInput, rock.NotRun).Becausef("%d hops, at most %d are allowed", r.Hops(), e.settings.Limits.MaxHops)
	}
	if r.Hops() == 0 {
		r = r.Forwarded()
	}
	return e.Do(ctx, r)
}

// try runs a request at the peers that are expected to run it sooner, or in
// the entry's own zone. If the zone loses the pool's last open host while the
// request waits, the peers are looked at once more.
func (e *Engine) try(ctx context.Context, r rock.Request) (rock.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	h := retry.NewHistory(r)
	answer, err := e.anywhere(ctx, r, h)
	if rock.ReasonOf(err) == rock.NoHost && rock.VerdictOf(err).Retryable(r.Idempotent()) && ctx.Err() == nil {
		answer, err = e.anywhere(ctx, r, h)
	}
	return answer, err
}

// anywhere runs a request at peers or in the own zone.
func (e *Engine) anywhere(ctx context.Context, r rock.Request, h *retry.History) (rock.Answer, error) {
	var asked []string
	for range maxForwards {
		peer := e.elsewhere(r, asked)
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
		if end := e.retry(ctx, r, h, err); end != nil {
			return rock.Answer{}, end
		}
	}
	return e.here(ctx, r, h)
}

// here runs a request on the hosts of the zone until it is answered or must
// not be tried again.
func (e *Engine) here(ctx context.Context, r rock.Request, h *retry.History) (rock.Answer, error) {
	grant, err := e.admit(ctx, r)
	for {
		if err != nil {
			return rock.Answer{}, h.FinalError(err)
		}
		answer, failed := e.run(ctx, grant)
		if failed == nil {
			return answer, nil
		}
		if !sched.Refused(failed) || ctx.Err() != nil {
			h.RecordHost(grant.Host().Name())
			h.RecordFailure(failed)
			if end := e.retry(ctx, r, h, failed); end != nil {
				return rock.Answer{}, end
			}
		}
		grant, err = e.resume(ctx, r, h)
	}
}

// retry decides whether a request whose last attempt failed is tried again. It
// returns nil or the failure with which the request ends.
func (e *Engine) retry(ctx context.Context, r rock.Request, h *retry.History, err error) error {
	if ctx.Err() != nil {
		return h.FinalError(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sched.Retry(e.settings.Now(), r, h, err)
}
