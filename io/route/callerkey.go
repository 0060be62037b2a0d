package route

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// doCallerKey runs a request whose idempotency key its caller chose, at most
// once. The entry that writes the key's claim row into the platform's table
// becomes the owner of the key; all other sends are forwarded there.
func (e *Engine) doCallerKey(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if e.claimRows == nil {
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.BadInput, rock.NotRun).Becausef("want a key that an entry issued")
	}
	now, name := e.settings.Now(), claimRowKey(r.Organisation(), r.IdempotencyKey())
	if r.Hops() > 0 && !e.keys.contains(now, name) {
		return rock.Answer{}, rock.Fail("claim", "idempotency key", rock.Duplicate, rock.MayHaveRun).Becausef("the entry that claimed it no longer holds its outcome")
	}
	c, run, err := e.keys.claim(now, name, now.Add(e.settings.Limits.KeyLifetime))
	if err != nil {
		return rock.Answer{}, outcomeUnknown(err)
	}
	switch c.State() {
	case claim.Settled:
		return answerFor(r, c.Outcome())
	case claim.Fresh:
		e.startCallerKey(r, name)
	}
	answer, err := e.keys.await(ctx, r, run)
	return answerFor(r, claim.NewOutcome(answer, err))
}

// startCallerKey claims the key and runs the request in the background, so that
// it continues if the caller disconnects.
func (e *Engine) startCallerKey(r rock.Request, name string) {
	if err := e.beginRequest(); err != nil {
		e.keys.release(e.settings.Now(), name, claim.NewOutcome(rock.Answer{}, outcomeUnknown(err)))
		return
	}
	e.settings.Group.Go("request", func(ctx context.Context) error {
		defer e.endRequest()
		ctx, cancel := context.WithDeadline(ctx, r.Deadline())
		defer cancel()
		if until, ok := e.keys.reclaim(name); ok {
			e.runCallerKey(ctx, r, name, until)
			return nil
		}
		row, err := e.claimRows.claim(ctx, name, e.newClaimRow(r))
		if err == nil && row.RequestID == r.ID() && row.Incarnation == e.settings.Member.Incarnation() {
			e.runCallerKey(ctx, r, name, row.ExpiresAt)
			return nil
		}
		var answer rock.Answer
		if err == nil {
			answer, err = e.forwardToClaimant(ctx, r, row.Home)
		}
		e.keys.release(e.settings.Now(), name, claim.NewOutcome(answer, err))
		return nil
	})
}

// runCallerKey runs a request whose key this entry has claimed. The claim row
// expires at until.
func (e *Engine) runCallerKey(ctx context.Context, r rock.Request, name string, until time.Time) {
	answer, err := e.execute(ctx, withoutKey(r))
	e.keys.recordCallerKeyOutcome(e.settings.Now(), name, until, claim.NewOutcome(answer, err))
}

// newClaimRow returns the row with which this entry claims the request's key.
func (e *Engine) newClaimRow(r rock.Request) claimRow {
	m := e.settings.Member
	return claimRow{Home: m.Name(), Incarnation: m.Incarnation(), RequestID: r.ID(), ExpiresAt: e.settings.Now().Add(e.settings.Limits.CallerKeyLifetime)}
}

// forwardToClaimant forwards a request to the entry that claimed its key. If
// that entry cannot be reached or does not hold the key any more, the verdict
// is may_have_run, since an earlier send may have run there.
func (e *Engine) forwardToClaimant(ctx context.Context, r rock.Request, claimant string) (rock.Answer, error) {
	duplicate := rock.Fail("claim", "idempotency key", rock.Duplicate, rock.MayHaveRun)
	if claimant == e.settings.Member.Name() {
		return rock.Answer{}, duplicate.Becausef("an earlier send claimed it here, and its outcome is no longer held")
	}
	answer, err := e.forwardOnce(ctx, r, claimant)
	if rock.VerdictOf(err) == rock.NotRun && !isOwnerRefusal(err) {
		return rock.Answer{}, duplicate.Becausef("an earlier send claimed it at %s: %w", claimant, err)
	}
	return answer, err
}
