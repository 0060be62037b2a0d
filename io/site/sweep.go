package site

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
)

const (
	// keepFactor is how many times longer than callers may ask the outcome of
	// a job is kept: entries' clocks differ, and handed-in copies of a job may
	// come late.
	keepFactor = 2
	// sweepInterval is the time between looks for outcomes that are too old.
	sweepInterval = 30 * time.Second
	// sweepRows bounds the rows that are deleted at once, below the platform's
	// 100 in a transaction.
	sweepRows = 90
)

// sweep deletes the outcomes of jobs that ended long ago, until ctx ends.
func (o *owner) sweep(ctx context.Context) error {
	for {
		if err := pause(ctx, sweepInterval); err != nil {
			return nil
		}
		c, err := o.site.settings.Store.List(ctx, o.table, o.cell, "", "")
		if err != nil {
			o.log.WithError(err).Info("Outcomes are not swept now.")
			continue
		}
		for part, ids := range o.old(o.site.now(), c.Rows) {
			if err := o.sweepPart(ctx, part, ids); err != nil {
				o.log.WithError(err).WithField("part", part).Info("Outcomes are not swept now.")
			}
		}
	}
}

// sweepPart deletes the rows of jobs of one intake part, and then their outcomes: a
// job without an outcome would be taken for one that has not ended.
func (o *owner) sweepPart(ctx context.Context, part string, ids []string) error {
	for len(ids) > 0 {
		n := min(len(ids), sweepRows)
		var handed, outcomes rock.Transaction
		outcomes.Require(key(cellTable, o.cell, ownerName), o.ownerVersion)
		for _, id := range ids[:n] {
			handed.Delete(key(o.table, part, id+jobSuffix))
			outcomes.Delete(key(o.table, o.cell, id+outcomeSuffix))
		}
		if _, err := o.site.settings.Store.Apply(ctx, handed); err != nil {
			return err
		}
		if _, err := o.site.settings.Store.Apply(ctx, outcomes); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}

// old returns the jobs whose outcomes are too old to be kept, by intake part.
func (o *owner) old(now time.Time, rows []rock.Row) map[string][]string {
	jobs := map[string][]string{}
	for i := range rows {
		_, name := splitKey(rows[i].Key())
		id, suffix := splitJobName(name)
		if suffix != outcomeSuffix {
			continue
		}
		outcome, err := works.DecodeOutcome(rows[i].Value())
		if err != nil {
			o.log.WithError(err).WithField("row", rows[i].Key()).Error("Outcome cannot be read.")
			continue
		}
		if now.Sub(outcome.At) > keepFactor*o.site.settings.Keep {
			part := intakePart(o.cell, id)
			jobs[part] = append(jobs[part], id)
		}
	}
	return jobs
}
