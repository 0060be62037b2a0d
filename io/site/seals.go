package site

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/works"
)

// sealJob makes sure that a job that is not stored in a cell is never stored there, not even
// by a write that was sent before and is carried out later: it puts a mark into each row in
// which the job may be stored. It retries until ctx ends, and returns the rows that have the
// job, if any. A failure has the verdict [rock.MayHaveRun].
func (s *Site) sealJob(ctx context.Context, cell, id string, mark []byte) (jobRows, error) {
	var taken atomic.Bool
	g := group.New(ctx)
	for _, part := range intakeParts(cell, id) {
		g.Go("seal job", func(ctx context.Context) error {
			free, err := s.sealRow(ctx, part, key(jobTable(cell), part, id+jobSuffix), mark)
			if !free {
				taken.Store(true)
			}
			return err
		})
	}
	var r jobRows
	err := g.Wait()
	if taken.Load() {
		if failed := s.readJobRow(ctx, cell, id, &r); err == nil {
			err = failed
		}
	}
	if err != nil && !r.stored() {
		return r, rock.Fail("seal", "job "+id, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
	}
	return r, nil
}

// sealRow puts a mark into a row, with retries until ctx ends. It returns false if the row
// exists already.
func (s *Site) sealRow(ctx context.Context, part, row string, mark []byte) (free bool, err error) {
	var t rock.Transaction
	t.Require(row, 0)
	t.Put(row, mark)
	for {
		_, err := s.storeInPart(ctx, part, t)
		if ctx.Err() == nil {
			s.recordPartAnswer(part, err)
			s.unresponsive.record(s.now(), part, isAnswer(err))
		}
		switch {
		case err == nil:
			return true, nil
		case rock.ReasonOf(err) == rock.Conflict:
			return false, nil
		}
		if sleep(ctx, submitRetryDelay) != nil {
			return true, err
		}
	}
}

// sealEverywhere makes sure that a job that was cancelled before it was stored is never stored,
// in whichever cell jobs of the queue may be. It reports whether a cell has the job.
func (s *Site) sealEverywhere(ctx context.Context, q works.Queue, id string) (stored bool, err error) {
	sealed := map[string]bool{}
	for {
		others, _ := s.otherCells(q)
		cells := slices.DeleteFunc(append(others, cellOf(q.Pool)), func(cell string) bool { return sealed[cell] })
		if len(cells) == 0 {
			return false, nil
		}
		for _, cell := range cells {
			r, err := s.sealJob(ctx, cell, id, cancelledMark)
			if r.stored() || err != nil {
				return r.stored(), err
			}
			sealed[cell] = true
		}
		// Another entry may have begun to use another pool. It seals the cells that are sealed
		// now before it stores the job there, and finds the mark.
		if err := s.refreshRecord(ctx, q.Name); err != nil {
			return false, err
		}
	}
}

// refuseCancelled returns the error of the submission of a job that was cancelled before.
func (s *Site) refuseCancelled(ctx context.Context, q works.Queue, id string) error {
	stored, err := s.sealEverywhere(ctx, q, id) // the cancellation may have sealed some parts only
	switch {
	case stored:
		return rock.Fail("submit", "job "+id, rock.Conflict, rock.NotRun).Becausef("the job is stored")
	case err != nil:
		return rock.Fail("submit", "job "+id, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
	}
	return rock.Fail("submit", "job "+id, rock.Cancelled, rock.NotRun).Becausef("the job was cancelled before it was accepted")
}

// explainConflict returns the error of a submission that found a row of the job in the cell of
// the queue's pool. The row may be a seal: then the job was not accepted in this cell.
func (s *Site) explainConflict(ctx context.Context, q works.Queue, id string, conflict error) error {
	cell := cellOf(q.Pool)
	var r jobRows
	err := s.readJobRow(ctx, cell, id, &r)
	f := rock.Fail("submit", "job "+id, rock.OutcomeUnknown, rock.MayHaveRun)
	switch {
	case r.stored():
		return conflict
	case r.cancelled():
		return s.refuseCancelled(ctx, q, id)
	case err != nil:
		return f.Because(err)
	}
	return f.Becausef("the job is accepted in another cell than %s, if at all", cell)
}

// seal is a row with a seal, as the owner of the cell has read it.
type seal struct {
	version uint64
	readAt  time.Time
}

// observeSeal records the value of a job's row, which may be a seal.
func (o *cellOwner) observeSeal(now time.Time, r rock.Row) {
	if !r.Exists() || !isSeal(r.Value()) {
		delete(o.seals, r.Key())
		return
	}
	if o.seals == nil {
		o.seals = map[string]seal{}
	}
	if s, ok := o.seals[r.Key()]; !ok || s.version != r.Version() {
		o.seals[r.Key()] = seal{r.Version(), now}
	}
}

// expiredSeals returns the versions of the rows with seals that are older than the retention
// of outcomes. No write of their jobs is carried out any more.
func (o *cellOwner) expiredSeals(now time.Time) map[string]uint64 {
	expired := map[string]uint64{}
	for k, s := range o.seals {
		if now.Sub(s.readAt) > retentionFactor*o.site.settings.OutcomeRetention {
			expired[k] = s.version
		}
	}
	return expired
}

// maxSweptSeals bounds the seals that are deleted in one transaction. Each has a condition
// and a row, and the platform's limit is 100.
const maxSweptSeals = 45

// sweepSeals deletes expired seals.
func (o *cellOwner) sweepSeals(ctx context.Context) {
	answers := make(chan map[string]uint64, 1)
	o.enqueue(ctx, func(now time.Time) { answers <- o.expiredSeals(now) })
	var expired map[string]uint64
	select {
	case expired = <-answers:
	case <-ctx.Done():
		return
	}
	byPart := map[string]*rock.Transaction{}
	for k, version := range expired {
		part, _ := splitKey(k)
		t := byPart[part]
		if t == nil {
			t = &rock.Transaction{}
			byPart[part] = t
		}
		if len(t.Writes()) < maxSweptSeals { // the others are deleted by the next sweep
			t.Require(k, version)
			t.Delete(k)
		}
	}
	for part, t := range byPart {
		if _, err := o.site.settings.Store.Apply(ctx, *t); err != nil {
			o.log.WithError(err).WithField("part", part).Info("Seals are not swept now.")
		}
	}
}
