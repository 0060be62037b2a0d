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
		old := o.old(o.site.now(), c.Rows)
		for len(old) > 0 {
			n := min(len(old), sweepRows)
			var t rock.Transaction
			t.Require(key(cellTable, o.cell, ownerName), o.ownerVersion)
			for _, k := range old[:n] {
				t.Delete(k)
			}
			if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
				o.log.WithError(err).Info("Outcomes are not swept now.")
				break
			}
			old = old[n:]
		}
	}
}

// old returns the keys of the outcomes that are too old to be kept.
func (o *owner) old(now time.Time, rows []rock.Row) []string {
	var keys []string
	for i := range rows {
		_, name := splitKey(rows[i].Key())
		if _, suffix := splitJobName(name); suffix != outcomeSuffix {
			continue
		}
		outcome, err := works.DecodeOutcome(rows[i].Value())
		if err != nil {
			o.log.WithError(err).WithField("row", rows[i].Key()).Error("Outcome cannot be read.")
			continue
		}
		if now.Sub(outcome.At) > keepFactor*o.site.settings.Keep {
			keys = append(keys, rows[i].Key())
		}
	}
	return keys
}
