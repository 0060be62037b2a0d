package jobs

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/lease"
)

// renewSession takes or renews the session's lease if that is due. It fails if
// the platform cannot be reached.
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

// beginTransaction returns a transaction that fails unless the session and its list are
// as this process knows them.
func (s *Jobs) beginTransaction() rock.Transaction {
	t := s.lease.Guard()
	t.Require(heldKey(s.session), s.listVersion)
	return t
}

// putHeldList adds a write of the list of held jobs, with the ids added and without
// those removed.
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

// commitHeldList commits a transaction that writes the list. If it is not known
// whether the rows are still as this process knows them, it reads them again.
func (s *Jobs) commitHeldList(ctx context.Context, t rock.Transaction) error {
	err := s.commit(ctx, t)
	if err == nil {
		s.listVersion++
		return nil
	}
	if rock.VerdictOf(err) == rock.MayHaveRun || rock.ReasonOf(err) == rock.Conflict {
		if again := s.resync(ctx); again != nil {
			return again
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

// resync reads the session's rows again after a conflict or a lost answer. If
// another entry took the session over, it drops all jobs and begins anew.
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

// abandonSession drops all jobs, which another entry holds now, and begins a new session.
func (s *Jobs) abandonSession(current lease.Lease) {
	all := s.items()
	if current.Version() > 0 || len(all) > 0 {
		s.settings.Log.WithField("session", s.session).WithField("by", current.Holder()).WithField("jobs", len(all)).
			Warn("session was taken over, its jobs are dropped")
		s.settings.Scope.Counter("sessions_lost").Inc(1)
	}
	for _, i := range all {
		s.releaseSlot(i, nil)
	}
	s.openSession()
}

// resyncJobs makes the held jobs those of the list, as their rows say.
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
		// A claim or adoption whose answer was lost. The task of a claim was
		// not started, since that follows the answer.
		host, _ := s.host(j)
		i := newItem(now, j, row.Version(), host, false)
		i.unstarted = j.TaskEpochIsCurrent()
		s.reserveSlot(i)
		s.addItem(i)
	}
	return nil
}

// releaseSession releases the session, so that other entries take its jobs at once.
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
		s.settings.Log.WithError(err).Warn("session not released, it is left to lapse")
	}
	for _, i := range s.items() {
		s.releaseSlot(i, nil)
	}
}
