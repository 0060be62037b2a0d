package duty

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/plan"
	"bramleyrock/core/record"
)

// planner is the duty that plans capacity. Its observations of the pools are kept
// in memory only, so that a new holder proposes nothing until a stabilisation
// window has passed.
type planner struct {
	waitingList

	settings Settings
	plan     *plan.Planner
}

func newPlanner(s Settings) *planner { return &planner{settings: s, plan: plan.New(s.Plan)} }

// Name implements [Duty].
func (p *planner) Name() string { return "planner" }

// Round implements [Duty]. It records the load of the pools and creates the moves
// that are worth their cost, or only lists them as waiting for an operator unless
// [Settings.ApplyPlan] is set. No move is created while others are pending.
func (p *planner) Round(ctx context.Context, now time.Time, params RoundParams) error {
	for _, s := range p.settings.Loads.Loads(now) {
		p.plan.Observe(now, s)
	}
	var all []Waiting
	for _, m := range p.plan.Moves(now, params.Fleet) {
		if !p.settings.ApplyPlan {
			all = append(all, Waiting{"host/" + m.Host(), "an operator to move it: " + m.Why(), now})
			continue
		}
		if len(pendingMoves(params.Fleet)) > 0 {
			break
		}
		if err := p.proposeMove(ctx, now, params, m); err != nil {
			return err
		}
		p.plan.RecordMove(now, m)
	}
	p.set(now, all)
	return nil
}

// proposeMove creates the record of the move, which the mover carries out.
func (p *planner) proposeMove(ctx context.Context, now time.Time, params RoundParams, m plan.Move) error {
	h, _ := params.Fleet.Host(m.Host())
	name := fmt.Sprintf("plan-%s-%d", m.Host(), h.Generation())
	r, err := record.Encode(rock.NewKey(rock.KindMove, name), 0, record.NewMove(record.MoveSpec{
		Host: m.Host(), From: m.From(), To: m.To(), State: record.MovePending, Since: now.UTC(),
	}))
	if err != nil {
		return err
	}
	_, err = p.settings.Changer.Change(ctx, now, rock.Proposal{
		ID: "move." + name, Who: params.Holder, Why: m.Why(), Records: []rock.Record{r}, Guard: params.Guard,
	})
	if err != nil {
		return fmt.Errorf("propose move %s: %w", name, err)
	}
	p.settings.Scope.Counter("planned_moves").Inc(1)
	return nil
}
