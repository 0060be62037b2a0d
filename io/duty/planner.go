package duty

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/plan"
	"bramleyrock/core/record"
)

// planner is the duty of the capacity plan. What it has seen of the pools is
// lost with its holder; the next one proposes nothing for a hold time.
type planner struct {
	waits

	settings Settings
	plan     *plan.Planner
}

func newPlanner(s Settings) *planner { return &planner{settings: s, plan: plan.New(s.Plan)} }

// Name implements [Duty].
func (p *planner) Name() string { return "planner" }

// Round implements [Duty]: it looks at the pools, and asks for the moves that
// are worth their price, or only names them if the settings say so.
func (p *planner) Round(ctx context.Context, now time.Time, turn RoundParams) error {
	for _, s := range p.settings.Loads.Loads(now) {
		p.plan.Observe(now, s)
	}
	var all []Waiting
	for _, m := range p.plan.Moves(now, turn.Fleet) {
		if !p.settings.ApplyPlan {
			all = append(all, Waiting{"host/" + m.Host(), "an operator to move it: " + m.Why(), now})
			continue
		}
		if len(pendingMoves(turn.Fleet)) > 0 {
			break
		}
		if err := p.ask(ctx, now, turn, m); err != nil {
			return err
		}
		p.plan.RecordMove(now, m)
	}
	p.set(now, all)
	return nil
}

// ask makes the record of the move, which the duty of moving hosts carries out.
func (p *planner) ask(ctx context.Context, now time.Time, turn RoundParams, m plan.Move) error {
	h, _ := turn.Fleet.Host(m.Host())
	name := fmt.Sprintf("plan-%s-%d", m.Host(), h.Generation())
	r, err := record.Encode(rock.NewKey(rock.KindMove, name), 0, record.NewMove(record.MoveSpec{
		Host: m.Host(), From: m.From(), To: m.To(), State: record.MovePending, Since: now.UTC(),
	}))
	if err != nil {
		return err
	}
	_, err = p.settings.Changer.Change(ctx, now, rock.Proposal{
		ID: "move." + name, Who: turn.Holder, Why: m.Why(), Records: []rock.Record{r}, Guard: turn.Guard,
	})
	if err != nil {
		return fmt.Errorf("ask for move %s: %w", name, err)
	}
	p.settings.Scope.Counter("planned_moves").Inc(1)
	return nil
}
