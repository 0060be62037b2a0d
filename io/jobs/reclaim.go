package jobs

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/core/lease"
)

// ownZoneGrace is how long this entry leaves an expired session of its own
// availability zone to the session's entry, which may renew it after an outage
// of the platform.
const ownZoneGrace = time.Second

// reclaimIfDue takes over the jobs of other sessions whose lease was released
// or has expired.
func (s *Jobs) reclaimIfDue(ctx context.Context) error {
	now := s.settings.Now()
	if now.Sub(s.lastReclaim) < s.settings.ReclaimInterval {
		return nil
	}
	s.lastReclaim = now
	rows, err := s.scan(ctx, leasePrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		session := strings.TrimPrefix(row.Key(), leasePrefix)
		if session == s.session {
			continue
		}
		l, err := lease.Parse(dutyPrefix+session, row)
		if err != nil {
			s.settings.Log.WithError(err).Warn("cannot parse a session's lease row")
			continue
		}
		if err := s.reclaim(ctx, now, session, l); err != nil && rock.ReasonOf(err) != rock.Conflict {
			return err
		}
	}
	return nil
}

// reclaim takes over a session if its lease is free and its grace period is
// over.
func (s *Jobs) reclaim(ctx context.Context, now time.Time, session string, l lease.Lease) error {
	next, action := s.settings.Terms.Next(now, s.session, l)
	if action == lease.Wait {
		delete(s.expiredSince, session)
		return nil
	}
	rows, err := s.read(ctx, heldKey(session))
	if err != nil {
		return err
	}
	list, err := parseHeld(rows[0])
	if err != nil {
		return err
	}
	if !s.mayTakeOver(now, session, l, list) {
		return nil
	}
	var t rock.Transaction
	if err := next.AddTo(&t, l); err != nil {
		return err
	}
	if err := s.commit(ctx, t); err != nil {
		return fmt.Errorf("take over session %s: %w", session, err)
	}
	s.settings.Log.WithField("session", session).WithField("jobs", len(list.Jobs)).Info("session taken over")
	return s.adoptJobs(ctx, session, next, rows[0].Version(), list)
}

// mayTakeOver reports whether this entry may take the session over. The grace
// period starts when this entry first finds the session expired and starts
// again after a failure to reach the platform. So the session's own entry can
// renew it first after an outage.
func (s *Jobs) mayTakeOver(now time.Time, session string, l lease.Lease, list heldList) bool {
	since, seen := s.expiredSince[session]
	if !seen {
		s.expiredSince[session] = now
		since = now
	}
	sameZone := list.Zone == "" || list.Zone == s.settings.Member.Zone()
	switch {
	case sameZone && l.Holder() == "":
		return true // released by a planned stop
	case sameZone:
		return now.Sub(since) >= ownZoneGrace
	}
	return now.Sub(since) >= s.settings.ZoneGrace
}

// adoptJobs moves the jobs of a session whose lease this entry acquired to its
// own session, and deletes the other session's rows. The version is that of the
// other session's held list.
func (s *Jobs) adoptJobs(ctx context.Context, session string, acquired lease.Lease, version uint64, list heldList) error {
	sameZone := list.Zone == "" || list.Zone == s.settings.Member.Zone()
	ids := slices.Sorted(maps.Keys(list.Jobs))
	for len(ids) > 0 {
		n := min(len(ids), maxBatch)
		for _, id := range ids[:n] {
			delete(list.Jobs, id)
		}
		if err := s.adoptBatch(ctx, session, acquired, &version, ids[:n], list, sameZone); err != nil {
			return err
		}
		ids = ids[n:]
	}
	t := acquired.Guard()
	t.Delete(lease.Key(acquired.Duty()))
	t.Delete(heldKey(session))
	delete(s.expiredSince, session)
	return s.commit(ctx, t)
}

// adoptBatch moves some jobs in one transaction, which also writes the held list
// of the other session without them. The tasks of another availability zone
// count as lost, because this entry cannot reach that zone's hosts.
func (s *Jobs) adoptBatch(ctx context.Context, session string, acquired lease.Lease, version *uint64, ids []string, remaining heldList, sameZone bool) error {
	now := s.settings.Now()
	items, err := s.readOrphans(ctx, now, session, ids)
	if err != nil {
		return err
	}
	t := s.beginTransaction()
	guard := acquired.Guard()
	for _, c := range guard.Conditions() {
		t.Require(c.Key(), c.Version())
	}
	t.Require(heldKey(session), *version)
	if err := putJSON(&t, heldKey(session), remaining); err != nil {
		return err
	}
	var adopted []string
	for _, i := range items {
		if !sameZone {
			i.job = i.job.HandleLoss(now, "its availability zone has no running entry")
		} else {
			i.job = i.job.Adopt(s.session)
			adopted = append(adopted, i.job.ID())
		}
		if err := putTransition(&t, &transition{item: i, next: i.job}); err != nil {
			return err
		}
	}
	if err := s.putHeldList(&t, adopted, nil); err != nil {
		return err
	}
	if err := s.commitHeldList(ctx, t); err != nil {
		return fmt.Errorf("adopt jobs of session %s: %w", session, err)
	}
	*version++
	for _, i := range items {
		i.version++
		if i.job.State() == job.Running {
			s.reserveSlot(i)
			s.addItem(i)
		}
	}
	s.settings.Scope.Counter("adopted").Inc(int64(len(adopted)))
	return nil
}

// readOrphans reads the jobs with the ids, without those that the session no
// longer holds.
func (s *Jobs) readOrphans(ctx context.Context, now time.Time, session string, ids []string) ([]*item, error) {
	keys := make([]string, len(ids))
	for n, id := range ids {
		keys[n] = jobKey(id)
	}
	rows, err := s.read(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read orphaned jobs: %w", err)
	}
	var items []*item
	for _, row := range rows {
		if !row.Exists() {
			continue
		}
		j, err := parseJob(row)
		if err != nil {
			return nil, err
		}
		if j.State() != job.Running || j.Holder() != session {
			continue
		}
		host, _ := s.host(j)
		items = append(items, newItem(now, j, row.Version(), host, false))
	}
	return items, nil
}
