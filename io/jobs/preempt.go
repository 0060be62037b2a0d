package jobs

import (
	"context"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// preempt claims an urgent job on the slot of a normal one. The normal job
// saves its state and waits again. It fails with [rock.NoHost] if none can make
// room.
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
		return nil, rock.Fail("claim", "job "+w.id, rock.NoHost, rock.NotRun).Becausef("no job of pool %s can make room", w.Pool)
	}
	victim, ok := s.heldItem(chosen.ID())
	if !ok {
		return nil, nil
	}
	saved := victim.job.WithCheckpoint(s.checkpoint(ctx, victim))
	step := &transition{item: victim, next: saved.Release(now, false)}
	claimed := newItem(now, urgent.Claim(now, s.session, victim.host.Name()), version, victim.host, true)
	i, err := s.commitClaim(ctx, w, claimed, step)
	if err != nil {
		return nil, err
	}
	s.stopTask(ctx, victim)
	victim.slotReserved = false // the slot is the urgent job's now
	s.applyTransition(step)
	s.settings.Scope.Counter("preempted").Inc(1)
	return i, nil
}
