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
	// retentionFactor is how many times the promised time an outcome is retained:
	// the clocks of entries differ, and a copy of a submission may arrive late.
	retentionFactor = 2
	// sweepInterval is the time between scans for expired outcomes.
	sweepInterval = 30 * time.Second
	// maxSweptRows bounds the rows that are deleted in one transaction, below the
	// platform's limit of 100.
	maxSweptRows = 90
)

// sweep deletes the rows of jobs that ended long ago, and what else is no longer needed, until
// ctx ends.
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
		o.sweepSeals(ctx)
		o.sweepTrail(ctx)
	}
}

// sweepHome deletes the rows of jobs whose outcome in the home has expired. The rows
// written at submission are deleted first, because a job without an outcome would
// count as not ended.
func (o *cellOwner) sweepHome(ctx context.Context, home int) error {
	homePart := homePart(o.cell, home)
	c, err := o.site.settings.Store.List(ctx, o.jobTable, homePart, "", "")
	if err != nil {
		return fmt.Errorf("list outcomes: %w", err)
	}
	intakeKeys := map[string][]string{}
	var homeKeys, outcomeKeys []string
	progress := progressNames(c.Rows)
	for _, id := range o.expiredJobs(o.site.now(), c.Rows) {
		for _, part := range intakeParts(o.cell, id) {
			intakeKeys[part] = append(intakeKeys[part], key(o.jobTable, part, id+jobSuffix))
		}
		for _, name := range progress[id] {
			homeKeys = append(homeKeys, key(o.jobTable, homePart, name))
		}
		outcomeKeys = append(outcomeKeys, key(o.jobTable, homePart, id+outcomeSuffix))
	}
	homeKeys = append(homeKeys, outcomeKeys...) // progress without an outcome would be that of a running job
	for part, keys := range intakeKeys {
		if err := o.deleteRows(ctx, keys); err != nil {
			return fmt.Errorf("sweep part %s: %w", part, err)
		}
	}
	if err := o.deleteRows(ctx, homeKeys); err != nil {
		return fmt.Errorf("sweep outcomes: %w", err)
	}
	return nil
}

// progressNames returns the names of the rows with progress, by job.
func progressNames(rows []rock.Row) map[string][]string {
	names := map[string][]string{}
	for i := range rows {
		_, name := splitKey(rows[i].Key())
		id, suffix := splitJobName(name)
		if _, ok := progressChunk(suffix); ok {
			names[id] = append(names[id], name)
		}
	}
	return names
}

// deleteRows deletes rows of one part in several transactions.
func (o *cellOwner) deleteRows(ctx context.Context, keys []string) error {
	for chunk := range slices.Chunk(keys, maxSweptRows) {
		var t rock.Transaction
		for _, k := range chunk {
			t.Delete(k)
		}
		if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// expiredJobs returns the jobs whose outcomes are older than the retention.
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
