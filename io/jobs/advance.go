package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// maxBatch bounds the jobs that are written in one transaction.
const maxBatch = 50

// transition is a change of a held job that has yet to be written.
type transition struct {
	item    *item
	next    job.Job
	outcome error // of the task; reported to the placer
}

// advanceAll advances all held jobs whose tasks were started, and writes their
// transitions in batches.
func (s *Jobs) advanceAll(ctx context.Context, cancels map[string]bool) error {
	items := slices.DeleteFunc(s.items(), func(i *item) bool { return i.unstarted })
	changes := make([]*transition, len(items))
	index := make(map[*item]int, len(items))
	for n, i := range items {
		index[i] = n
	}
	s.forEach(ctx, items, func(ctx context.Context, i *item) {
		changes[index[i]] = s.advance(ctx, i, cancels[i.job.ID()])
	})
	var changed []*transition
	for _, c := range changes {
		if c != nil {
			changed = append(changed, c)
		}
	}
	for len(changed) > 0 {
		n := min(len(changed), maxBatch)
		if err := s.commitTransitions(ctx, changed[:n]); err != nil {
			return err
		}
		changed = changed[n:]
	}
	return nil
}

// advance decides what to do about one job, makes the necessary calls to its
// target, and returns the transition to be written, or nil if there is none.
func (s *Jobs) advance(ctx context.Context, i *item, cancelled bool) *transition {
	now := s.settings.Now()
	_, open := s.host(i.job)
	i.observation.CancelRequested, i.observation.HostClosed = cancelled, !open
	switch s.settings.Limits.NextAction(now, i.job, i.observation) {
	case job.Complete:
		return &transition{i, i.job.Complete(now, i.observation.Status.Result()), nil}
	case job.Fail:
		failed := rock.Fail("run", "job "+i.job.ID(), rock.WorkFailed, rock.Ran)
		return &transition{i, i.job.Fail(now, s.settings.Limits.MaxFailedHosts), failed}
	case job.HandleLoss:
		s.stopTask(ctx, i) // the loss is recorded even if this fails
		return &transition{i, i.job.HandleLoss(now, "the task was lost on host "+i.host.Name()), nil}
	case job.Cancel:
		if !s.stopTask(ctx, i) && now.Sub(i.observation.LastAnswerAt) <= s.settings.Limits.TaskLease {
			return nil
		}
		return &transition{i, i.job.Cancel(now), nil}
	case job.Expire:
		if !s.stopTask(ctx, i) {
			return nil
		}
		return &transition{i, i.job.Expire(now), nil}
	case job.Migrate:
		saved := i.job.WithCheckpoint(s.checkpoint(ctx, i))
		if !s.stopTask(ctx, i) {
			return nil
		}
		return &transition{i, saved.Release(now, false), nil}
	case job.Checkpoint:
		i.observation.LastCheckpointAt = now
		return &transition{i, i.job.WithCheckpoint(s.checkpoint(ctx, i)), nil}
	}
	return nil
}

// stopTask cancels the task and reports whether the target accepted the call.
func (s *Jobs) stopTask(ctx context.Context, i *item) bool {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	err := s.settings.Target.Cancel(ctx, i.host, i.job.TaskID())
	if err != nil {
		s.settings.Log.WithError(err).WithField("job", i.job.ID()).Debug("task not cancelled")
	}
	return err == nil
}

// checkpoint asks the target for a checkpoint of the task. It returns nil if
// there is none or if it is larger than the greatest payload.
func (s *Jobs) checkpoint(ctx context.Context, i *item) json.RawMessage {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	status, err := s.settings.Target.Checkpoint(ctx, i.host, i.job.TaskID())
	log := s.settings.Log.WithField("job", i.job.ID())
	if err != nil {
		log.WithError(err).Info("cannot get a checkpoint from the target")
		return nil
	}
	if size := int64(len(status.Checkpoint())); size > s.settings.MaxPayloadBytes {
		log.WithField("bytes", size).Warn("checkpoint is larger than the greatest payload and not saved")
		return nil
	}
	return status.Checkpoint()
}

// commitTransitions writes transitions in one transaction. Jobs that end or are
// requeued are removed from the session.
func (s *Jobs) commitTransitions(ctx context.Context, changes []*transition) error {
	t := s.beginTransaction()
	var removed []string
	for _, c := range changes {
		if err := putTransition(&t, c); err != nil {
			return err
		}
		if c.next.State() != job.Running {
			removed = append(removed, c.next.ID())
		}
	}
	if err := s.putHeldList(&t, nil, removed); err != nil {
		return err
	}
	if err := s.commitHeldList(ctx, t); err != nil {
		return fmt.Errorf("write transitions of %d jobs: %w", len(changes), err)
	}
	for _, c := range changes {
		s.applyTransition(c)
	}
	return nil
}

// putTransition adds the writes of a transition to the transaction, except that
// of the held list.
func putTransition(t *rock.Transaction, c *transition) error {
	key := jobKey(c.next.ID())
	t.Require(key, c.item.version)
	if err := putJSON(t, key, c.next); err != nil {
		return err
	}
	if c.next.State() == job.Waiting {
		return putWaiting(t, c.next)
	}
	if c.item.observation.CancelRequested && c.next.State().Ended() {
		t.Delete(cancelKey(c.next.ID()))
	}
	return nil
}

// applyTransition updates the held jobs after a transition was committed.
func (s *Jobs) applyTransition(c *transition) {
	c.item.version++
	if c.next.State() == job.Running {
		s.setJob(c.item, c.next)
		return
	}
	s.removeItem(c.item, c.outcome)
	s.settings.Scope.Tagged(map[string]string{"state": string(c.next.State())}).Counter("steps").Inc(1)
	s.settings.Log.WithField("job", c.next.ID()).WithField("state", c.next.State()).Info("job ended or was requeued")
}

// saveProgressIfDue writes the progress of all held jobs to the held list.
func (s *Jobs) saveProgressIfDue(ctx context.Context) error {
	now := s.settings.Now()
	if now.Sub(s.lastProgressWrite) < s.settings.ProgressInterval || len(s.items()) == 0 {
		return nil
	}
	s.lastProgressWrite = now
	t := s.beginTransaction()
	if err := s.putHeldList(&t, nil, nil); err != nil {
		return err
	}
	return s.commitHeldList(ctx, t)
}
