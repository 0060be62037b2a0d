package jobs

import (
	"context"

	"golang.org/x/sync/semaphore"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// maxTargetCalls bounds the calls to targets that are in flight at once.
const maxTargetCalls = 32

// refreshStatuses asks the targets for the status of all tasks for which that is
// due. The call also renews the task's lease.
func (s *Jobs) refreshStatuses(ctx context.Context) {
	now := s.settings.Now()
	var due []*item
	for _, i := range s.items() {
		if !i.unstarted && i.statusDue(now, s.settings) {
			due = append(due, i)
		}
	}
	s.forEach(ctx, due, s.refreshStatus)
}

func (s *Jobs) refreshStatus(ctx context.Context, i *item) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	status, err := s.settings.Target.Status(ctx, i.host, i.job.TaskID())
	now := s.settings.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	i.statusRequestedAt = now
	switch {
	case rock.ReasonOf(err) == rock.NotFound:
		status = rock.NewTaskStatus(i.job.TaskID(), rock.TaskUnknown, 0, nil, nil)
	case err != nil:
		// The last status stays valid until the task's lease must have expired.
		return
	}
	i.observation.Status, i.observation.LastAnswerAt = status, now
}

// forEach calls do for all items, up to maxTargetCalls at once, and waits for
// all calls to return.
func (s *Jobs) forEach(ctx context.Context, items []*item, do func(context.Context, *item)) {
	if len(items) == 0 {
		return
	}
	slots := semaphore.NewWeighted(maxTargetCalls)
	g := group.New(ctx)
	for _, i := range items {
		if slots.Acquire(ctx, 1) != nil {
			break
		}
		g.Go("call target", func(ctx context.Context) error {
			defer slots.Release(1)
			do(ctx, i)
			return nil
		})
	}
	_ = g.Wait() // the calls return no error
}
