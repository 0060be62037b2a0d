package site

import (
	"bytes"
	"context"

	rock "bramleyrock"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
)

// jobRows holds the rows that were found of a job; a row that was not found is nil.
type jobRows struct {
	job, outcome *rock.Row
	// progress is the row with the progress of the first tasks.
	progress *rock.Row
}

// ended reports whether the job's row is marked, and no row has the job.
func (r jobRows) ended() bool { return r.job != nil && isMark(r.job.Value()) }

// stored reports whether the job was stored when it was submitted.
func (r jobRows) stored() bool { return r.job != nil && !isSeal(r.job.Value()) }

// cancelled reports whether the job was cancelled before it was stored.
func (r jobRows) cancelled() bool { return r.job != nil && bytes.Equal(r.job.Value(), cancelledMark) }

// addJobRow adds a row that was written at submission. One part may have the job, and others
// seals; a job comes before a seal, and a cancellation before another seal.
func (r *jobRows) addJobRow(row *rock.Row) {
	if !r.stored() && (!r.cancelled() || !isSeal(row.Value())) {
		r.job = row
	}
}

// known reports whether a row of the job was found.
func (r jobRows) known() bool { return r.stored() || r.progress != nil || r.outcome != nil }

// findJob reads the rows of a job from the cell of its queue's pool, and from the other
// cells that may have jobs of the queue until one of them has it. If none has it, findJob
// returns an error if one of them cannot be read.
func (s *Site) findJob(ctx context.Context, q works.Queue, id string, submitted bool) (jobRows, error) {
	r, err := s.readJob(ctx, cellOf(q.Pool), id, submitted)
	if r.known() {
		return r, err
	}
	others, known := s.otherCells(q)
	if !known && err == nil {
		err = rock.Fail("read", "job "+id, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Becausef("the records of the queues are not read")
	}
	for _, cell := range others {
		other, failed := s.readJob(ctx, cell, id, submitted)
		if other.known() {
			return other, failed
		}
		if failed != nil {
			err = failed
		}
	}
	return r, err
}

// readJob reads the rows of a job from a cell. It reads the row that was written at
// submission only if the main home has no row of the job, or if submitted is true.
func (s *Site) readJob(ctx context.Context, cell, id string, submitted bool) (jobRows, error) {
	var record tenure.Record
	s.view.withCell(cell, func(c *cellView) { record = c.challenger.Record() })
	main := record.Main
	var r jobRows
	err := s.readRows(ctx, cell, homePart(cell, main), id, &r)
	if err == nil && r.progress != nil {
		err = r.dropStaleProgress(record.CopiedSince)
	}
	if err == nil && (submitted || r.progress == nil && r.outcome == nil) {
		err = s.readJobRow(ctx, cell, id, &r)
	}
	if err == nil && r.ended() && r.stored() && r.outcome == nil {
		err = s.readOutcome(ctx, cell, main, id, &r)
	}
	return r, err
}

// dropStaleProgress drops progress that is older than since, the first write of the
// last full copy to this home. The job may have ended in another home since then.
func (r *jobRows) dropStaleProgress(since works.Stamp) error {
	p, err := works.DecodeProgress(r.progress.Value())
	if err != nil {
		return err
	}
	if since.After(p.Stamp) {
		r.progress = nil
	}
	return nil
}

// readOutcome adds the outcome of a job that is marked as ended. The job may have
// ended after the main home was read, and the outcome may be in any home.
func (s *Site) readOutcome(ctx context.Context, cell string, main int, id string, r *jobRows) error {
	var failed error
	for i := range tenure.HomeCount {
		home := (main + i) % tenure.HomeCount
		if err := s.readRows(ctx, cell, homePart(cell, home), id, r); err != nil {
			failed = err
		}
		if r.outcome != nil {
			return nil
		}
	}
	return failed
}

// readJobRow adds the row that was written when the job was submitted. It returns an
// error if no part has the row and a part that may have it cannot be read.
func (s *Site) readJobRow(ctx context.Context, cell, id string, r *jobRows) error {
	var failed error
	for _, part := range s.unresponsive.sort(s.now(), intakeParts(cell, id)) {
		err := s.readRows(ctx, cell, part, id, r)
		if ctx.Err() == nil {
			s.unresponsive.record(s.now(), part, err == nil)
		}
		if r.stored() {
			return nil
		}
		if err != nil {
			failed = err
		}
	}
	return failed
}

// readRows adds the rows of a job that one part holds.
func (s *Site) readRows(ctx context.Context, cell, part, id string, r *jobRows) error {
	// The first row of progress is the last name in the range. It exists if any of them does.
	c, err := s.settings.Store.List(ctx, jobTable(cell), part, id+"/", id+progressSuffix+"\x00")
	if ctx.Err() == nil {
		s.recordPartAnswer(part, err)
	}
	if err != nil {
		return rock.Fail("read", "job "+id, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Because(err)
	}
	for i := range c.Rows {
		row := &c.Rows[i]
		_, name := splitKey(row.Key())
		switch _, suffix := splitJobName(name); suffix {
		case jobSuffix:
			r.addJobRow(row)
		case progressSuffix:
			r.progress = row
		case outcomeSuffix:
			r.outcome = row
		}
	}
	return nil
}
