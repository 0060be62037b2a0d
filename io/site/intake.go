package site

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
)

// takeJobs takes in rows of jobs. Progress is taken in with its job.
func (o *owner) takeJobs(now time.Time, rows []rock.Row) {
	ended := o.ended(rows)
	for id := range ended {
		o.core.RecordEnded(now, id)
	}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		if cellOfPart(part) != o.cell || !r.Exists() {
			continue
		}
		if id, suffix := splitJobName(name); suffix == jobSuffix && !hasEnded(r.Value()) {
			o.takeJob(now, id, part, r, ended)
		}
	}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		if id, suffix := splitJobName(name); cellOfPart(part) == o.cell && r.Exists() && suffix == cancelSuffix {
			o.core.Cancel(now, id)
			if len(o.unread) > 0 {
				o.waiting = append(o.waiting, r) // its job may not be known yet
			}
		}
	}
	o.changed = true
}

// takeJob takes in the row of a job that was handed in.
func (o *owner) takeJob(now time.Time, id, part string, r rock.Row, ended map[string]works.Outcome) {
	if part != intakeParts(o.cell, id)[0] {
		if len(o.unread) > 0 && !o.core.HasEnded(id) {
			o.waiting = append(o.waiting, r) // it may have ended, or be known from a part that is down
			return
		}
		o.strays[id] = append(o.strays[id], part)
	}
	if o.core.HasEnded(id) {
		if outcome, ok := ended[id]; ok {
			o.outcomes[id] = outcome
		}
		o.retireJob(id, true)
		return
	}
	j, err := works.DecodeJob(r.Value())
	if err != nil {
		o.log.WithError(err).WithField("row", r.Key()).Error("Job cannot be read.")
		return
	}
	o.core.AddJob(now, j, r.Version())
	if p, ok := o.progress[id]; ok {
		delete(o.progress, id)
		o.core.AddProgress(now, id, p)
	}
	o.core.HandleDeferredEnds(now, id)
}

// ended returns the outcomes in the rows.
func (o *owner) ended(rows []rock.Row) map[string]works.Outcome {
	ended := map[string]works.Outcome{}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		if _, home := homeOf(part); !home || cellOfPart(part) != o.cell || suffix != outcomeSuffix || !r.Exists() {
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

// followJobs follows the rows of the cell's jobs from a version on.
func (o *owner) followJobs(ctx context.Context, version uint64) error {
	first := true
	return o.site.follow(ctx, table{
		name: o.table,
		list: func(ctx context.Context) (uint64, error) {
			if first {
				first = false
				return version, nil
			}
			sent := o.site.now()
			l, err := o.site.listJobs(ctx, o.cell, o.homesHeld(ctx))
			if err != nil {
				return 0, err
			}
			o.post(ctx, func(now time.Time) {
				o.miss(now, l.unread)
				o.heard(now, sent, l.rows)
			})
			return l.version, nil
		},
		take: func(sent time.Time, rows []rock.Row) {
			o.post(ctx, func(now time.Time) { o.heard(now, sent, rows) })
		},
		gap: every(jobPoll),
	})
}

// heard takes in rows of jobs. All changes up to that time are known then.
func (o *owner) heard(now, upTo time.Time, rows []rock.Row) {
	if len(rows) > 0 {
		o.takeJobs(now, rows)
	}
	o.heardAt = upTo
}

// jobPoll is the time between readings of the cell's jobs, so that its own
// writes and the jobs of a surge come together.
const jobPoll = 30 * time.Millisecond
