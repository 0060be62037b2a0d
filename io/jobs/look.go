package jobs

import (
	"context"

	"golang.org/x/sync/semaphore"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// maxCalls is the number of calls to targets that are in flight at once.
const maxCalls = 32

// look asks the targets for their reports on the tasks that are due, which
// renews the tasks' leases.
func (s *Jobs) look(ctx context.Context) {
	now := s.settings.Now()
	var due []*item
	for _, i := range s.items() {
		if !i.unstarted && i.due(now, s.settings) {
			due = append(due, i)
		}
	}
	s.each(ctx, due, s.lookAt)
}

func (s *Jobs) lookAt(ctx context.Context, i *item) {
	ctx, cancel := s.call(ctx)
	defer cancel()
	status, err := s.settings.Target.Status(ctx, i.host, i.job.TaskID())
	now := s.settings.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	i.lookedAt = now
	switch {
	case rock.ReasonOf(err) == rock.NotFound:
		status = rock.NewTaskStatus(i.job.TaskID(), rock.TaskUnknown, 0, nil, nil)
	case err != nil:
		// The last report stands until the task's lease must have lapsed.
		return
	}
	i.sight.Status, i.sight.LastAnswerAt = status, now
}

// each calls do for all items, some at once, and waits for all.
func (s *Jobs) each(ctx context.Context, items []*item, do func(context.Context, *item)) {
	if len(items) == 0 {
		return
	}
	slots := semaphore.NewWeighted(maxCalls)
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
