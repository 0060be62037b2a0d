package site

import (
	"context"
	"fmt"
	"slices"
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
		ids := o.old(o.site.now(), c.Rows)
		if err := o.sweepJobs(ctx, ids); err != nil {
			o.log.WithError(err).WithField("jobs", len(ids)).Info("Outcomes are not swept now.")
		}
	}
}

// sweepJobs deletes the rows of jobs as they were handed in, and then their
// outcomes: a job without an outcome would be taken for one that has not ended.
func (o *owner) sweepJobs(ctx context.Context, ids []string) error {
	handed := map[string][]string{}
	var outcomes []string
	for _, id := range ids {
		for _, part := range intakeParts(o.cell, id) {
			handed[part] = append(handed[part], key(o.table, part, id+jobSuffix))
		}
		outcomes = append(outcomes, key(o.table, o.cell, id+outcomeSuffix))
	}
	for part, keys := range handed {
		if err := o.deleteRows(ctx, rock.Transaction{}, keys); err != nil {
			return fmt.Errorf("sweep part %s: %w", part, err)
		}
	}
	var owned rock.Transaction
	owned.Require(key(cellTable, o.cell, ownerName), o.ownerVersion)
	if err := o.deleteRows(ctx, owned, outcomes); err != nil {
		return fmt.Errorf("sweep outcomes: %w", err)
	}
	return nil
}

// deleteRows deletes rows of one part, some in each transaction, under the
// conditions of a transaction.
func (o *owner) deleteRows(ctx context.Context, conditions rock.Transaction, keys []string) error {
	for some := range slices.Chunk(keys, sweepRows) {
		t := conditions
		for _, k := range some {
			t.Delete(k)
		}
		if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// old returns the jobs whose outcomes are too old to be kept.
func (o *owner) old(now time.Time, rows []rock.Row) []string {
	var jobs []string
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
			jobs = append(jobs, id)
		}
	}
	return jobs
}
