package route

import (
	"context"
	"errors"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// opOnce is the operation of a refusal by the home of a key. Only the home knows
// that no send of the key has run.
const opOnce = "run once"

// once runs a request with an idempotency key at most once: at the key's home,
// which remembers it.
func (e *Engine) once(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if !claim.HasKeyFormat(r.IdempotencyKey()) {
		return asHome(r)(e.chosen(ctx, r))
	}
	key, err := e.keyring.Verify(r.IdempotencyKey(), r.Organisation())
	if err != nil {
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.BadInput, rock.NotRun).Because(err)
	}
	if key.Issuer() != e.settings.Member.Name() {
		return e.sendHome(ctx, r, key)
	}
	return asHome(r)(e.atHome(ctx, r, key))
}

// asHome marks a refusal as that of the home of a key.
func asHome(r rock.Request) func(rock.Answer, error) (rock.Answer, error) {
	return func(answer rock.Answer, err error) (rock.Answer, error) {
		var f *rock.Failure
		if errors.As(err, &f) && f.Verdict() == rock.NotRun {
			return rock.Answer{}, rock.Fail(opOnce, "request "+r.ID(), f.Reason(), rock.NotRun).RetryIn(f.RetryAfter()).Because(err)
		}
		return answer, err
	}
}

// fromHome reports whether err is a refusal by the home of a key.
func fromHome(err error) bool {
	var f *rock.Failure
	return errors.As(err, &f) && f.Op() == opOnce
}

// atHome runs a request whose key is at home here, or returns the outcome of
// an earlier send.
func (e *Engine) atHome(ctx context.Context, r rock.Request, key claim.Key) (rock.Answer, error) {
	if key.Incarnation() != e.settings.Member.Incarnation() {
		if e.closings.rule(ctx, e.settings.Now(), r, key) {
			return rock.Answer{}, closedHome(key)
		}
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.Fenced, rock.MayHaveRun).Becausef("its home %s was restarted and has forgotten it", key.Issuer())
	}
	c, run, err := e.ledger.claim(e.settings.Now(), r.IdempotencyKey(), key.Expires())
	if err != nil {
		return rock.Answer{}, err
	}
	switch c.State() {
	case claim.Settled:
		return own(r, c.Outcome())
	case claim.Fresh:
		e.start(r)
	}
	answer, err := e.ledger.await(ctx, r, run)
	return own(r, claim.NewOutcome(answer, err))
}

// start runs a claimed request apart from its caller, who may leave and ask
// again for the answer.
func (e *Engine) start(r rock.Request) {
	if err := e.enter(); err != nil {
		e.ledger.settle(e.settings.Now(), r.IdempotencyKey(), claim.NewOutcome(rock.Answer{}, err))
		return
	}
	e.settings.Group.Go("request", func(ctx context.Context) error {
		defer e.exit()
		answer, err := e.try(ctx, withoutKey(r))
		e.ledger.settle(e.settings.Now(), r.IdempotencyKey(), claim.NewOutcome(answer, err))
		return nil
	})
}

// sendHome forwards the request to the home of its key. If the home cannot be
// reached, an earlier send may have run there, unless the home stated at its
// end that it had not.
func (e *Engine) sendHome(ctx context.Context, r rock.Request, key claim.Key) (rock.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	answer, err := e.forwardHome(ctx, r, key.Issuer())
	if err == nil || rock.VerdictOf(err) == rock.MayHaveRun || fromHome(err) {
		return answer, err
	}
	if e.closings.rule(ctx, e.settings.Now(), r, key) {
		return rock.Answer{}, closedHome(key)
	}
	return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.Unavailable, rock.MayHaveRun).Becausef("its home %s cannot be reached: %w", key.Issuer(), err)
}

// forwardHome forwards the request to the home of its key, once.
func (e *Engine) forwardHome(ctx context.Context, r rock.Request, home string) (rock.Answer, error) {
	unreached := rock.Fail("forward", "entry "+home, rock.Unavailable, rock.NotRun)
	if r.Hops() > 0 || e.settings.Peers == nil {
		return rock.Answer{}, unreached.Becausef("it is not this entry")
	}
	v, ok := e.settings.Peers.Find(home)
	if !ok {
		return rock.Answer{}, unreached.Becausef("it is not known here")
	}
	return v.Peer().Forward(ctx, r)
}

// closedHome returns the refusal of a key that was never claimed at a home
// that has ended.
func closedHome(key claim.Key) error {
	return rock.Fail(opOnce, "idempotency key", rock.Leaving, rock.NotRun).Becausef("its home %s has ended and never claimed it: fetch a new key", key.Issuer())
}

// own returns the outcome of another send's run as that of r.
func own(r rock.Request, o claim.Outcome) (rock.Answer, error) {
	answer, err := o.Result()
	if err != nil {
		return rock.Answer{}, err
	}
	return rock.NewAnswer(r.ID(), answer.Host(), answer.Payload()), nil
}

// withoutKey returns r without its idempotency key.
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
