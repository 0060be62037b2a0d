package site

import (
	"context"
	"fmt"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
)

// loadRetry is the time before a failed reading of a cell is repeated.
const loadRetry = 50 * time.Millisecond

// load reads the cell's rows, and returns the version from which its jobs are
// to be followed.
func (o *owner) load(ctx context.Context) (uint64, error) {
	for {
		version, err := o.tryLoad(ctx)
		if err == nil || ctx.Err() != nil || o.site.now().After(o.lease.ValidUntil()) {
			return version, err
		}
		o.log.WithError(err).Info("Cell cannot be read yet.")
		if err := pause(ctx, loadRetry); err != nil {
			return 0, err
		}
	}
}

func (o *owner) tryLoad(ctx context.Context) (uint64, error) {
	workers := map[string]workerRow{}
	homes := o.lease.HeldHomes()
	o.spread = false
	for i, home := range homes {
		sent := o.site.now()
		rows, err := o.site.settings.Store.List(ctx, cellTable, homePart(o.cell, home), "", "")
		if err != nil {
			return 0, err
		}
		if i == 0 {
			o.early, o.late = sent.Add(-rows.Now), o.site.now().Add(-rows.Now)
		}
		if err := o.loadHome(home, rows.Rows, workers); err != nil {
			return 0, err
		}
	}
	o.heardAt = o.site.now()
	jobs, err := o.site.listJobs(ctx, o.cell, homes)
	if err != nil {
		return 0, err
	}
	former := map[string]time.Time{}
	for id, w := range workers {
		former[id] = o.ownTime(w.UntilMS)
	}
	o.build(former)
	o.miss(o.site.now(), jobs.unread)
	for _, home := range o.lease.ExcludedHomes() {
		o.miss(o.site.now(), []string{homePart(o.cell, home)})
	}
	o.loadProgress(jobs.rows)
	o.takeJobs(o.site.now(), jobs.rows)
	if o.spread {
		o.copyAll(o.site.now())
	} else {
		o.lease.CompleteCopy()
	}
	return jobs.version, nil
}

// loadHome takes in the rows of one home, and the newest rows of workers.
func (o *owner) loadHome(home int, rows []rock.Row, workers map[string]workerRow) error {
	ownerVersion, _ := o.lease.Versions(home)
	for _, r := range rows {
		_, name := splitKey(r.Key())
		switch {
		case name == ownerName && r.Version() != ownerVersion:
			return fmt.Errorf("home %d of the cell has another owner", home)
		case strings.HasPrefix(name, workerPrefix):
			var w workerRow
			if err := cbor.Unmarshal(r.Value(), &w); err != nil {
				return fmt.Errorf("decode row of a worker: %w", err)
			}
			id := strings.TrimPrefix(name, workerPrefix)
			if other, ok := workers[id]; !ok || w.Stamp.After(other.Stamp) {
				workers[id] = w
				o.spread = o.spread || home != o.lease.Main()
			}
		}
	}
	return nil
}

// loadProgress keeps the newest progress of each job.
func (o *owner) loadProgress(rows []rock.Row) {
	o.progress = map[string]works.Progress{}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		home, _ := homeOf(part)
		if suffix == outcomeSuffix && home != o.lease.Main() {
			o.spread = true
		}
		if suffix != progressSuffix {
			continue
		}
		p, err := works.DecodeProgress(r.Value())
		if err != nil {
			o.log.WithError(err).WithField("row", r.Key()).Error("Progress cannot be read.")
			continue
		}
		if other, ok := o.progress[id]; !ok || p.Stamp.After(other.Stamp) {
			o.progress[id] = p
			o.spread = o.spread || home != o.lease.Main()
		}
	}
}

// formerSlack is added to the time until which a former owner's leases may
// last: the way of its last orders, and the age of its reading of clocks.
const formerSlack = time.Second

// build makes the cell's state.
func (o *owner) build(former map[string]time.Time) {
	s := &o.site.settings
	c := cell.Settings{
		Pool: o.pool, Fence: o.fence, LeaseDuration: s.LeaseDuration, MaxLeaseDuration: s.MaxLeaseDuration, FormerWorkers: former,
		MaxStopDuration: s.MaxStopDuration, RemoteSlowdown: s.RemoteSlowdown, MaxEarlyStart: s.MaxEarlyStart, EndedRetention: keepFactor * s.OutcomeRetention,
	}
	if !o.first {
		c.FormerLeasesEndAt = o.site.now().Add(time.Duration(float64(s.LeaseDuration)*leaseStretch) + formerSlack)
	}
	o.core = cell.New(c)
	o.core.SetQueues(o.site.view.queues())
	o.strays, o.outcomes = map[string][]string{}, map[string]works.Outcome{}
	o.unread, o.waiting, o.copies = nil, nil, nil
}

// leaseStretch is how much longer a lease may last by the entry's clock: a
// worker's clock may be 2 % slow.
const leaseStretch = 1.03
