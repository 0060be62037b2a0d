package route

import (
	"context"
	"errors"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// opRunOnce is the operation in failures of a key's owner. A not_run verdict
// counts only from the owner, since no other entry can exclude that an earlier
// request with the key has run.
const opRunOnce = "run once"

// doOnce runs a request with an idempotency key at most once. Only the owner of
// the key runs it.
func (e *Engine) doOnce(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if !claim.HasKeyFormat(r.IdempotencyKey()) {
		return markOwnerRefusal(r)(e.doCallerKey(ctx, r))
	}
	key, err := e.keyring.Verify(r.IdempotencyKey(), r.Organisation())
	if err != nil {
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.BadInput, rock.NotRun).Because(err)
	}
	if key.Issuer() != e.settings.Member.Name() {
		return e.forwardToIssuer(ctx, r, key)
	}
	return markOwnerRefusal(r)(e.doIssuedKey(ctx, r, key))
}

// markOwnerRefusal returns a function that passes on a result. It changes the
// operation of a failure with verdict not_run to opRunOnce.
func markOwnerRefusal(r rock.Request) func(rock.Answer, error) (rock.Answer, error) {
	return func(answer rock.Answer, err error) (rock.Answer, error) {
		var f *rock.Failure
		if errors.As(err, &f) && f.Verdict() == rock.NotRun {
			return rock.Answer{}, rock.Fail(opRunOnce, "request "+r.ID(), f.Reason(), rock.NotRun).RetryIn(f.RetryAfter()).Because(err)
		}
		return answer, err
	}
}

// isOwnerRefusal reports whether the owner of the key returned err with verdict
// not_run.
func isOwnerRefusal(err error) bool {
	var f *rock.Failure
	return errors.As(err, &f) && f.Op() == opRunOnce
}

// doIssuedKey runs a request whose key this entry issued, or returns the outcome
// of an earlier request with the key. Claims are lost in a restart. A key of an
// earlier incarnation is therefore refused, as not run only if the closing
// record proves it.
func (e *Engine) doIssuedKey(ctx context.Context, r rock.Request, key claim.Key) (rock.Answer, error) {
	if key.Incarnation() != e.settings.Member.Incarnation() {
		if e.closings.provesNotRun(ctx, e.settings.Now(), r, key) {
			return rock.Answer{}, issuerStopped(key)
		}
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.Fenced, rock.MayHaveRun).Becausef("its issuer %s was restarted and no longer holds it", key.Issuer())
	}
	c, run, err := e.keys.claim(e.settings.Now(), r.IdempotencyKey(), key.Expires())
	if err != nil {
		return rock.Answer{}, err
	}
	switch c.State() {
	case claim.Settled:
		return answerFor(r, c.Outcome())
	case claim.Fresh:
		e.startIssuedKey(r)
	}
	answer, err := e.keys.await(ctx, r, run)
	return answerFor(r, claim.NewOutcome(answer, err))
}

// startIssuedKey runs a claimed request in the background. The caller may
// disconnect and send the request again to get the answer.
func (e *Engine) startIssuedKey(r rock.Request) {
	if err := e.beginRequest(); err != nil {
		e.keys.recordOutcome(e.settings.Now(), r.IdempotencyKey(), claim.NewOutcome(rock.Answer{}, err))
		return
	}
	e.settings.Group.Go("request", func(ctx context.Context) error {
		defer e.endRequest()
		answer, err := e.execute(ctx, withoutKey(r))
		e.keys.recordOutcome(e.settings.Now(), r.IdempotencyKey(), claim.NewOutcome(answer, err))
		return nil
	})
}

// forwardToIssuer forwards the request to the issuer of its key. If the issuer
// cannot be reached, an earlier request with the key may have run there, unless
// the closing record of the issuer proves that it has not.
func (e *Engine) forwardToIssuer(ctx context.Context, r rock.Request, key claim.Key) (rock.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	answer, err := e.forwardOnce(ctx, r, key.Issuer())
	if err == nil || rock.VerdictOf(err) == rock.MayHaveRun || isOwnerRefusal(err) {
		return answer, err
	}
	if e.closings.provesNotRun(ctx, e.settings.Now(), r, key) {
		return rock.Answer{}, issuerStopped(key)
	}
	return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.Unavailable, rock.MayHaveRun).Becausef("its issuer %s cannot be reached: %w", key.Issuer(), err)
}

// forwardOnce forwards the request to the owner of its key. It fails if the
// request was forwarded before, which prevents loops.
func (e *Engine) forwardOnce(ctx context.Context, r rock.Request, owner string) (rock.Answer, error) {
	unreached := rock.Fail("forward", "entry "+owner, rock.Unavailable, rock.NotRun)
	if r.Hops() > 0 || e.settings.Peers == nil {
		return rock.Answer{}, unreached.Becausef("the request reached another entry and cannot be forwarded again")
	}
	v, ok := e.settings.Peers.Find(owner)
	if !ok {
		return rock.Answer{}, unreached.Becausef("this entry knows no such peer")
	}
	return v.Peer().Forward(ctx, r)
}

// issuerStopped returns the refusal of a key whose issuer has stopped without
// having claimed it.
func issuerStopped(key claim.Key) error {
	return rock.Fail(opRunOnce, "idempotency key", rock.Leaving, rock.NotRun).Becausef("its issuer %s has stopped and never claimed it: fetch a new key", key.Issuer())
}

// answerFor returns an outcome as the result of r. The answer gets the id of r,
// since the outcome may be that of another request with the same key.
func answerFor(r rock.Request, o claim.Outcome) (rock.Answer, error) {
	answer, err := o.Result()
	if err != nil {
		return rock.Answer{}, err
	}
	return rock.NewAnswer(r.ID(), answer.Host(), answer.Payload()), nil
}

// withoutKey returns a copy of r without its idempotency key.
func withoutKey(r rock.Request) rock.Request {
	return rock.NewRequest(rock.RequestSpec{
		ID:           r.ID(),
		Organisation: r.Organisation(),
		Pool:         r.Pool(),
		Class:        r.Class(),
		Idempotent:   r.Idempotent(),
		Deadline:     r.Deadline(),
		Hops:         r.Hops(),
		Payload:      r.Payload(),
	})
}
