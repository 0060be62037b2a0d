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
	// retentionFactor is how many times longer than callers may ask the outcome of
	// a job is kept: entries' clocks differ, and handed-in copies of a job may
	// come late.
	retentionFactor = 2
	// sweepInterval is the time between looks for outcomes that are too old.
	sweepInterval = 30 * time.Second
	// maxSweptRows bounds the rows that are deleted at once, below the platform's
	// 100 in a transaction.
	maxSweptRows = 90
)

// sweep deletes the outcomes of jobs that ended long ago, until ctx ends.
func (o *cellOwner) sweep(ctx context.Context) error {
	for {
		if err := sleep(ctx, sweepInterval); err != nil {
			return nil
		}
		for _, home := range o.heldHomes(ctx) {
			if err := o.sweepHome(ctx, home); err != nil {
				o.log.WithError(err).WithField("home", home).Info("Outcomes are not swept now.")
			}
		}
	}
}

// sweepHome deletes what a home holds of jobs that ended long ago: first their rows
// as they were handed in, since a job without an outcome would be taken for one that
// has not ended.
func (o *cellOwner) sweepHome(ctx context.Context, home int) error {
	homePart := homePart(o.cell, home)
	c, err := o.site.settings.Store.List(ctx, o.jobTable, homePart, "", "")
	if err != nil {
		return fmt.Errorf("list outcomes: %w", err)
	}
	handed := map[string][]string{}
	var stored []string
	for _, id := range o.expiredJobs(o.site.now(), c.Rows) {
		for _, part := range intakeParts(o.cell, id) {
			handed[part] = append(handed[part], key(o.jobTable, part, id+jobSuffix))
		}
		stored = append(stored, key(o.jobTable, homePart, id+outcomeSuffix), key(o.jobTable, homePart, id+progressSuffix))
	}
	for part, keys := range handed {
		if err := o.deleteRows(ctx, keys); err != nil {
			return fmt.Errorf("sweep part %s: %w", part, err)
		}
	}
	if err := o.deleteRows(ctx, stored); err != nil {
		return fmt.Errorf("sweep outcomes: %w", err)
	}
	return nil
}

// deleteRows deletes rows of one part, some in each transaction.
func (o *cellOwner) deleteRows(ctx context.Context, keys []string) error {
	for some := range slices.Chunk(keys, maxSweptRows) {
		var t rock.Transaction
		for _, k := range some {
			t.Delete(k)
		}
		if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// expiredJobs returns the jobs whose outcomes are too old to be kept.
func (o *cellOwner) expiredJobs(now time.Time, rows []rock.Row) []string {
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
		if now.Sub(outcome.At) > retentionFactor*o.site.settings.OutcomeRetention {
			jobs = append(jobs, id)
		}
	}
	return jobs
}
