package jobs

import (
	"context"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// preempt claims an urgent job for the slot of a normal one, which is
// checkpointed and requeued. It returns [rock.NoHost] if no job can be
// preempted, and nil without an error if the urgent job is no longer waiting.
func (s *Jobs) preempt(ctx context.Context, w waitingRow) (*item, error) {
	urgent, version, err := s.readWaiting(ctx, w)
	if err != nil || version == 0 {
		return nil, err
	}
	now := s.settings.Now()
	var running []job.Job
	for _, i := range s.items() {
		if i.slotReserved {
			running = append(running, i.job)
		}
	}
	chosen, ok := s.settings.Limits.PreemptionVictim(now, urgent, running)
	if !ok {
		return nil, rock.Fail("claim", "job "+w.id, rock.NoHost, rock.NotRun).Becausef("no job of pool %s can be preempted", w.Pool)
	}
	victim, ok := s.heldItem(chosen.ID())
	if !ok {
		return nil, nil
	}
	saved := victim.job.WithCheckpoint(s.checkpoint(ctx, victim))
	requeue := &transition{item: victim, next: saved.Release(now, false)}
	claimed := newItem(now, urgent.Claim(now, s.session, victim.host.Name()), version, victim.host, true)
	i, err := s.commitClaim(ctx, w, claimed, requeue)
	if err != nil {
		return nil, err
	}
	s.stopTask(ctx, victim)
	victim.slotReserved = false // the urgent job uses the slot now
	s.applyTransition(requeue)
	s.settings.Scope.Counter("preempted").Inc(1)
	return i, nil
}
