package site

import (
	"context"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/trail"
	"bramleyrock/core/works"
)

// applyJobRows applies changed rows of jobs. Stored progress is applied together with
// the job that it belongs to.
func (o *cellOwner) applyJobRows(now time.Time, rows []rock.Row) {
	ended := o.decodeOutcomes(rows)
	for id, outcome := range ended {
		o.state.RecordEnded(now, id)
		if len(o.unreadParts) > 0 {
			o.pendingOutcomes[id] = outcome
		}
	}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		if cellOfPart(part) != o.cell || suffix != jobSuffix {
			continue
		}
		o.observeSeal(now, r)
		if r.Exists() && !isMark(r.Value()) {
			o.applyJobRow(now, id, part, r, ended)
		}
	}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		if id, suffix := splitJobName(name); cellOfPart(part) == o.cell && r.Exists() && suffix == cancelSuffix {
			o.state.Cancel(now, id)
			if len(o.unreadParts) > 0 {
				o.deferredRows = append(o.deferredRows, r) // the job may be in an unread part
			}
		}
	}
	o.changed = true
}

// applyJobRow applies the row that was written when a job was submitted.
func (o *cellOwner) applyJobRow(now time.Time, id, part string, r rock.Row, ended map[string]works.Outcome) {
	if part != intakeParts(o.cell, id)[0] {
		if len(o.unreadParts) > 0 && !o.state.HasEnded(id) {
			// The job may have ended, or have progress or another row in an unread part.
			o.deferredRows = append(o.deferredRows, r)
			return
		}
		o.extraParts[id] = append(o.extraParts[id], part)
	}
	if o.state.HasEnded(id) {
		outcome, ok := ended[id]
		if !ok {
			outcome, ok = o.pendingOutcomes[id]
		}
		if ok {
			o.unmarkedOutcomes[id] = outcome
		}
		o.addEndedJob(id, true)
		return
	}
	j, err := works.DecodeJob(r.Value())
	if err != nil {
		o.log.WithError(err).WithField("row", r.Key()).Error("Job cannot be read.")
		return
	}
	o.site.trail.with(func(t *trail.Trail) { t.ObserveJob(j.Queue, o.pool) })
	o.state.AddJob(now, j, r.Version())
	if p, ok := o.pendingProgress[id]; ok {
		delete(o.pendingProgress, id)
		o.state.AddProgress(now, id, slices.Collect(maps.Values(p))...)
	}
	o.state.HandleDeferredEnds(now, id)
}

// decodeOutcomes returns the outcomes among the rows, by job id.
func (o *cellOwner) decodeOutcomes(rows []rock.Row) map[string]works.Outcome {
	ended := map[string]works.Outcome{}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		if _, home := homeNumber(part); !home || cellOfPart(part) != o.cell || suffix != outcomeSuffix || !r.Exists() {
			continue
		}
		outcome, err := works.DecodeOutcome(r.Value())
		if err != nil {
			o.log.WithError(err).WithField("row", r.Key()).Error("Outcome cannot be read.")
		}
		ended[id] = outcome
	}
	return ended
}

// followJobs follows the rows of the cell's jobs from a version.
func (o *cellOwner) followJobs(ctx context.Context, version uint64) error {
	first := true
	return o.site.follow(ctx, tableFollower{
		name: o.jobTable,
		list: func(ctx context.Context) (uint64, error) {
			if first {
				first = false
				return version, nil
			}
			sent := o.site.now()
			l, err := o.site.listJobs(ctx, o.cell, o.heldHomes(ctx))
			if err != nil {
				return 0, err
			}
			o.enqueue(ctx, func(now time.Time) {
				o.addUnreadParts(now, l.unreadParts, l.version)
				o.handleJobRows(now, sent, l.rows)
			})
			return l.version, nil
		},
		handle: func(sent time.Time, rows []rock.Row) {
			o.enqueue(ctx, func(now time.Time) { o.handleJobRows(now, sent, rows) })
		},
		interval: fixedInterval(jobPollInterval),
	})
}

// handleJobRows applies changed rows of jobs. All changes up to upTo are applied then.
func (o *cellOwner) handleJobRows(now, upTo time.Time, rows []rock.Row) {
	if len(rows) > 0 {
		o.applyJobRows(now, rows)
	}
	o.jobsKnownUpTo = upTo
}

// jobPollInterval is the time between reads of the cell's job changes, so that one
// read returns many of the owner's own writes and many jobs of a surge.
const jobPollInterval = 30 * time.Millisecond
