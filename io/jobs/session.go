package jobs

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/lease"
)

// renewSession acquires or renews the session's lease if that is due. It
// returns an error if the platform cannot be reached.
func (s *Jobs) renewSession(ctx context.Context, now time.Time) error {
	next, action := s.settings.Terms.Next(now, s.session, s.lease)
	if action == lease.Hold {
		return nil
	}
	if action == lease.Wait {
		return s.resync(ctx)
	}
	var t rock.Transaction
	if err := next.AddTo(&t, s.lease); err != nil {
		return err
	}
	err := s.commit(ctx, t)
	if err == nil {
		s.lease = next
		return nil
	}
	if rock.VerdictOf(err) == rock.MayHaveRun || rock.ReasonOf(err) == rock.Conflict {
		return s.resync(ctx)
	}
	return fmt.Errorf("renew session: %w", err)
}

// beginTransaction returns a transaction that fails unless the session's lease
// row and held list still have the versions that this process last knew.
func (s *Jobs) beginTransaction() rock.Transaction {
	t := s.lease.Guard()
	t.Require(heldKey(s.session), s.listVersion)
	return t
}

// putHeldList adds to t a write of the held list: the held jobs and the ids in
// add, without those in remove.
func (s *Jobs) putHeldList(t *rock.Transaction, add, remove []string) error {
	list := heldList{Zone: s.settings.Member.Zone(), Jobs: map[string]float64{}}
	for _, i := range s.items() {
		list.Jobs[i.job.ID()] = i.observation.Status.Progress()
	}
	for _, id := range remove {
		delete(list.Jobs, id)
	}
	for _, id := range add {
		list.Jobs[id] = 0
	}
	return putJSON(t, heldKey(s.session), list)
}

// commitHeldList commits a transaction that writes the held list. After a
// conflict or an unknown outcome it reads the session's rows again. It then still
// returns the error of the commit, or that of the read.
func (s *Jobs) commitHeldList(ctx context.Context, t rock.Transaction) error {
	err := s.commit(ctx, t)
	if err == nil {
		s.listVersion++
		return nil
	}
	if rock.VerdictOf(err) == rock.MayHaveRun || rock.ReasonOf(err) == rock.Conflict {
		if resyncErr := s.resync(ctx); resyncErr != nil {
			return resyncErr
		}
	}
	return err
}

func (s *Jobs) commit(ctx context.Context, t rock.Transaction) error {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	return s.settings.Table.Commit(ctx, t)
}

func (s *Jobs) read(ctx context.Context, keys ...string) ([]rock.Row, error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	return s.settings.Table.Read(ctx, keys...)
}

// resync reads the session's rows again after a conflict or a lost answer, and
// updates the held jobs from them. If another entry took the session over, it
// abandons the session.
func (s *Jobs) resync(ctx context.Context) error {
	rows, err := s.read(ctx, leasePrefix+s.session, heldKey(s.session))
	if err != nil {
		return fmt.Errorf("read session: %w", err)
	}
	current, err := lease.Parse(dutyPrefix+s.session, rows[0])
	if err != nil {
		return err
	}
	if current.Holder() != s.session {
		s.abandonSession(current)
		return nil
	}
	list, err := parseHeld(rows[1])
	if err != nil {
		return err
	}
	s.lease, s.listVersion = current, rows[1].Version()
	return s.resyncJobs(ctx, list)
}

// abandonSession drops all jobs, which another entry holds now, and begins a
// new session. The argument is the lease as last read.
func (s *Jobs) abandonSession(current lease.Lease) {
	all := s.items()
	if current.Version() > 0 || len(all) > 0 {
		s.settings.Log.WithField("session", s.session).WithField("by", current.Holder()).WithField("jobs", len(all)).
			Warn("session was taken over by another entry, its jobs are dropped")
		s.settings.Scope.Counter("sessions_lost").Inc(1)
	}
	for _, i := range all {
		s.releaseSlot(i, nil)
	}
	s.openSession()
}

// resyncJobs makes the held jobs equal to those of the held list, with the
// contents of their rows.
func (s *Jobs) resyncJobs(ctx context.Context, list heldList) error {
	var ids, keys []string
	for id := range list.Jobs {
		ids, keys = append(ids, id), append(keys, jobKey(id))
	}
	var rows []rock.Row
	if len(keys) > 0 {
		var err error
		if rows, err = s.read(ctx, keys...); err != nil {
			return fmt.Errorf("read held jobs: %w", err)
		}
	}
	for _, i := range s.items() {
		if _, listed := list.Jobs[i.job.ID()]; !listed {
			s.removeItem(i, nil)
		}
	}
	now := s.settings.Now()
	for n, row := range rows {
		j, err := parseJob(row)
		if err != nil {
			return err
		}
		if i, ok := s.heldItem(ids[n]); ok && i.job.TaskID() == j.TaskID() {
			i.version = row.Version()
			s.setJob(i, j)
			continue
		}
		// The answer to a claim or adoption was lost. A claim's task has not
		// been started, since that only happens after the answer.
		host, _ := s.host(j)
		i := newItem(now, j, row.Version(), host, false)
		i.unstarted = j.TaskEpochIsCurrent()
		s.reserveSlot(i)
		s.addItem(i)
	}
	return nil
}

// releaseSession releases the session's lease, so that other entries adopt its
// jobs without waiting for the lease to expire.
func (s *Jobs) releaseSession(ctx context.Context) {
	if s.lease.Version() == 0 {
		return
	}
	released := s.settings.Terms.Release(s.lease)
	var t rock.Transaction
	if err := released.AddTo(&t, s.lease); err != nil {
		return
	}
	if err := s.commit(ctx, t); err != nil {
		s.settings.Log.WithError(err).Warn("cannot release the session, other entries adopt its jobs when its lease expires")
	}
	for _, i := range s.items() {
		s.releaseSlot(i, nil)
	}
}
