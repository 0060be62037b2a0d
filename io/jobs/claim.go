package jobs

import (
	"context"
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// maxClaimsPerRound bounds the jobs that are claimed in one round.
const maxClaimsPerRound = 50

// otherHostWait is how long a job waits for a host on which it has not failed,
// before it may run again on one where it has.
const otherHostWait = 5 * time.Second

// refusalBackoffRounds is the number of rounds for which a pool counts as full
// after a target refused a task as overloaded.
const refusalBackoffRounds = 4

// claimAll claims waiting jobs and starts the tasks of all claimed jobs,
// including those of earlier rounds that could not be started.
func (s *Jobs) claimAll(ctx context.Context, cancels map[string]bool) error {
	err := s.claimWaiting(ctx, cancels)
	s.startTasks(ctx)
	return err
}

// claimWaiting claims waiting jobs, and ends those that were cancelled while
// they waited.
func (s *Jobs) claimWaiting(ctx context.Context, cancels map[string]bool) error {
	full := s.refusingPools()
	claimed := 0
	for _, w := range s.waiting {
		if claimed >= maxClaimsPerRound || s.stopping() {
			break
		}
		if cancels[w.id] {
			if err := s.cancelWaiting(ctx, w); err != nil {
				return err
			}
			continue
		}
		if full[w.Pool] && !w.urgent {
			continue
		}
		i, err := s.claim(ctx, w, full[w.Pool])
		switch {
		case rock.ReasonOf(err) == rock.NoHost:
			full[w.Pool] = true
		case rock.ReasonOf(err) == rock.Conflict:
			// Another entry claimed the job first.
		case err != nil:
			return err
		case i != nil:
			claimed++
		}
	}
	return nil
}

// refusingPools returns the pools in backoff because a target refused a task.
// Their slots are used by other entries.
func (s *Jobs) refusingPools() map[string]bool {
	now := s.settings.Now()
	full := map[string]bool{}
	for pool, until := range s.fullUntil {
		if now.Before(until) {
			full[pool] = true
		}
	}
	return full
}

// claim claims a waiting job for a free slot or, if it is urgent, for the slot
// of a preempted job. It returns nil without an error if the job is no longer
// waiting or cannot be placed in this round, and [rock.NoHost] if the pool is
// full.
func (s *Jobs) claim(ctx context.Context, w waitingRow, full bool) (*item, error) {
	waited := s.settings.Now().Sub(w.Since)
	limit := s.settings.Limits.PreemptAfter
	// A pool may be full although the placer counts free slots, because other
	// entries use its hosts too. So an urgent job that has waited too long
	// preempts a normal one.
	if w.urgent && (waited >= 2*limit || full && waited >= limit) {
		i, err := s.preempt(ctx, w)
		if rock.ReasonOf(err) != rock.NoHost {
			return i, err
		}
	}
	if full {
		return nil, rock.Fail("claim", "job "+w.id, rock.NoHost, rock.NotRun)
	}
	return s.claimFreeSlot(ctx, w)
}

// claimFreeSlot claims a waiting job for a free slot. It returns nil without an
// error if the job is no longer waiting, or if it should wait for a host on
// which it has not failed.
func (s *Jobs) claimFreeSlot(ctx context.Context, w waitingRow) (*item, error) {
	now := s.settings.Now()
	host, err := s.settings.Placer.Choose(now, w.Pool, nil)
	if err != nil {
		return nil, err
	}
	releaseHost := func() { s.settings.Placer.Done(s.settings.Now(), host.Name(), 0, nil) }
	j, version, err := s.readWaiting(ctx, w)
	if err != nil || version == 0 {
		releaseHost()
		return nil, err
	}
	if slices.Contains(j.FailedHosts(), host.Name()) && now.Sub(w.Since) < otherHostWait {
		releaseHost()
		if host, err = s.settings.Placer.Choose(now, w.Pool, j.FailedHosts()); err != nil {
			return nil, nil
		}
	}
	i, err := s.commitClaim(ctx, w, newItem(now, j.Claim(now, s.session, host.Name()), version, host, true), nil)
	if err != nil {
		releaseHost()
	}
	return i, err
}

// readWaiting reads the job of a waiting row. The version is 0 if the job is no
// longer waiting.
func (s *Jobs) readWaiting(ctx context.Context, w waitingRow) (job.Job, uint64, error) {
	rows, err := s.read(ctx, jobKey(w.id))
	if err != nil {
		return job.Job{}, 0, fmt.Errorf("read waiting job: %w", err)
	}
	if !rows[0].Exists() {
		return job.Job{}, 0, nil
	}
	j, err := parseJob(rows[0])
	if err != nil || j.State() != job.Waiting {
		return j, 0, err
	}
	return j, rows[0].Version(), nil
}

// commitClaim commits a claim, together with the transition of the preempted
// job if victim is not nil.
func (s *Jobs) commitClaim(ctx context.Context, w waitingRow, i *item, victim *transition) (*item, error) {
	t := s.beginTransaction()
	t.Require(w.key, w.version)
	t.Delete(w.key)
	t.Require(jobKey(w.id), i.version)
	if err := putJSON(&t, jobKey(w.id), i.job); err != nil {
		return nil, err
	}
	var removed []string
	if victim != nil {
		removed = append(removed, victim.next.ID())
		if err := putTransition(&t, victim); err != nil {
			return nil, err
		}
	}
	if err := s.putHeldList(&t, []string{w.id}, removed); err != nil {
		return nil, err
	}
	if err := s.commitHeldList(ctx, t); err != nil {
		return nil, fmt.Errorf("claim job %s: %w", w.id, err)
	}
	i.version++
	i.unstarted = true
	s.addItem(i)
	return i, nil
}

// startTasks starts the tasks of claimed jobs. A job whose task was certainly
// not started is requeued. If that cannot be written, the next round tries to
// start the task again.
func (s *Jobs) startTasks(ctx context.Context) {
	claimed := slices.DeleteFunc(s.items(), func(i *item) bool { return !i.unstarted })
	refused := make(chan *transition, len(claimed))
	s.forEach(ctx, claimed, func(ctx context.Context, i *item) {
		if c := s.startTask(ctx, i); c != nil {
			refused <- c
		}
	})
	close(refused)
	for c := range refused {
		if rock.ReasonOf(c.outcome) == rock.Overloaded {
			s.fullUntil[c.next.Pool()] = s.settings.Now().Add(refusalBackoffRounds * s.settings.Interval)
		}
		if err := s.commitTransitions(ctx, []*transition{c}); err != nil {
			s.settings.Log.WithError(err).WithField("job", c.next.ID()).Warn("cannot requeue a job whose task was not started")
		}
	}
}

// startTask starts the task of a job. If the task was certainly not started, it
// returns the transition that requeues the job, else nil. After an unknown
// outcome the job stays held, and the task's status decides.
func (s *Jobs) startTask(ctx context.Context, i *item) *transition {
	now := s.settings.Now()
	if !s.settings.Terms.HeldBy(now, s.session, s.lease) {
		// Committing this fails if another entry took the session over.
		return &transition{i, i.job.Release(now, true), nil}
	}
	j := i.job
	task := rock.NewTask(j.TaskID(), j.Pool(), i.host.Generation(), s.settings.Limits.TaskLease, time.Time{}, j.TaskPayload())
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	err := s.settings.Target.Start(ctx, i.host, task)
	i.unstarted = rock.VerdictOf(err) == rock.NotRun
	if err == nil {
		s.settings.Log.WithField("job", j.ID()).WithField("host", i.host.Name()).Info("job started")
		s.settings.Scope.Timer("wait").Record(now.Sub(j.SubmittedAt()))
		return nil
	}
	s.settings.Log.WithError(err).WithField("job", j.ID()).WithField("host", i.host.Name()).Info("job not started")
	if i.unstarted {
		return &transition{i, j.Release(now, true), err}
	}
	return nil
}

// cancelWaiting ends a job that was cancelled while it waited.
func (s *Jobs) cancelWaiting(ctx context.Context, w waitingRow) error {
	j, version, err := s.readWaiting(ctx, w)
	if err != nil || version == 0 {
		return err
	}
	var t rock.Transaction
	t.Require(w.key, w.version)
	t.Delete(w.key)
	t.Require(jobKey(w.id), version)
	t.Delete(cancelKey(w.id))
	if err := putJSON(&t, jobKey(w.id), j.Cancel(s.settings.Now())); err != nil {
		return err
	}
	err = s.commit(ctx, t)
	if rock.ReasonOf(err) == rock.Conflict {
		return nil // another entry claimed or ended the job first
	}
	return err
}
