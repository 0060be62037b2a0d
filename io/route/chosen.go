package route

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// chosen runs a request at most once whose idempotency key its caller chose.
// The entry that writes the key's claim row into the platform's table becomes
// its home; other sends are forwarded there.
func (e *Engine) chosen(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if e.rows == nil {
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.BadInput, rock.NotRun).Becausef("want a key that an entry issued")
	}
	now, name := e.settings.Now(), rowKey(r.Organisation(), r.IdempotencyKey())
	if r.Hops() > 0 && !e.ledger.knows(now, name) {
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.Duplicate, rock.MayHaveRun).Becausef("its home has forgotten it")
	}
	c, run, err := e.ledger.claim(now, name, now.Add(e.settings.Limits.KeyLifetime))
	if err != nil {
		return rock.Answer{}, unknown(err)
	}
	switch c.State() {
	case claim.Settled:
		return own(r, c.Outcome())
	case claim.Fresh:
		e.startChosen(r, name)
	}
	answer, err := e.ledger.await(ctx, r, run)
	return own(r, claim.NewOutcome(answer, err))
}

// startChosen claims the key and runs the request apart from its caller.
func (e *Engine) startChosen(r rock.Request, name string) {
	if err := e.enter(); err != nil {
		e.ledger.drop(e.settings.Now(), name, claim.NewOutcome(rock.Answer{}, unknown(err)))
		return
	}
	e.settings.Group.Go("request", func(ctx context.Context) error {
		defer e.exit()
		ctx, cancel := context.WithDeadline(ctx, r.Deadline())
		defer cancel()
		if until, ok := e.ledger.take(name); ok {
			e.runChosen(ctx, r, name, until)
			return nil
		}
		row, err := e.rows.claim(ctx, name, e.row(r))
		if err == nil && row.RequestID == r.ID() && row.Incarnation == e.settings.Member.Incarnation() {
			e.runChosen(ctx, r, name, row.ExpiresAt)
			return nil
		}
		var answer rock.Answer
		if err == nil {
			answer, err = e.atHolder(ctx, r, row.Home)
		}
		e.ledger.drop(e.settings.Now(), name, claim.NewOutcome(answer, err))
		return nil
	})
}

// runChosen runs a request whose key is claimed here by a row until a time.
func (e *Engine) runChosen(ctx context.Context, r rock.Request, name string, until time.Time) {
	answer, err := e.try(ctx, withoutKey(r))
	e.ledger.settleChosen(e.settings.Now(), name, until, claim.NewOutcome(answer, err))
}

// row returns the claim row of a request.
func (e *Engine) row(r rock.Request) rowForm {
	m := e.settings.Member
	return rowForm{Home: m.Name(), Incarnation: m.Incarnation(), RequestID: r.ID(), ExpiresAt: e.settings.Now().Add(e.settings.Limits.CallerKeyLifetime)}
}

// atHolder forwards a request to the entry that claimed its key.
func (e *Engine) atHolder(ctx context.Context, r rock.Request, home string) (rock.Answer, error) {
	duplicate := rock.Fail("claim", "idempotency key", rock.Duplicate, rock.MayHaveRun)
	if home == e.settings.Member.Name() {
		return rock.Answer{}, duplicate.Becausef("an earlier send claimed it here, and its outcome is no longer held")
	}
	answer, err := e.forwardHome(ctx, r, home)
	if rock.VerdictOf(err) == rock.NotRun && !fromHome(err) {
		return rock.Answer{}, duplicate.Becausef("an earlier send claimed it at %s: %w", home, err)
	}
	return answer, err
}
