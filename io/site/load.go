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

// loadRetryDelay is the delay before a failed read of a cell is retried.
const loadRetryDelay = 50 * time.Millisecond

// load reads the cell's rows and creates its state. It returns the version from which
// changes of the jobs must be followed. It retries while the lease is valid.
func (o *cellOwner) load(ctx context.Context) (uint64, error) {
	for {
		version, err := o.tryLoad(ctx)
		if err == nil || ctx.Err() != nil || o.site.now().After(o.lease.ValidUntil()) {
			return version, err
		}
		o.log.WithError(err).Info("Cell cannot be read yet.")
		if err := sleep(ctx, loadRetryDelay); err != nil {
			return 0, err
		}
	}
}

// tryLoad makes one attempt to load the cell.
func (o *cellOwner) tryLoad(ctx context.Context) (uint64, error) {
	workers := map[string]workerRow{}
	homes := o.lease.HeldHomes()
	o.stateOutsideMain = false
	for i, home := range homes {
		sent := o.site.now()
		rows, err := o.site.settings.Store.List(ctx, cellTable, homePart(o.cell, home), "", "")
		if err != nil {
			return 0, err
		}
		if i == 0 {
			o.tableEpochEarliest, o.tableEpochLatest = sent.Add(-rows.Now), o.site.now().Add(-rows.Now)
		}
		if err := o.loadHome(home, rows.Rows, workers); err != nil {
			return 0, err
		}
	}
	o.jobsKnownUpTo = o.site.now()
	jobs, err := o.site.listJobs(ctx, o.cell, homes)
	if err != nil {
		return 0, err
	}
	former := map[string]time.Time{}
	for id, w := range workers {
		former[id] = o.entryTime(w.UntilMS)
	}
	o.initState(former)
	o.addUnreadParts(o.site.now(), jobs.unreadParts, jobs.version)
	for _, home := range o.lease.ExcludedHomes() {
		o.addUnreadParts(o.site.now(), []string{homePart(o.cell, home)}, jobs.version)
	}
	o.loadProgress(jobs.rows)
	o.applyJobRows(o.site.now(), jobs.rows)
	if o.stateOutsideMain {
		o.startCopy(o.site.now())
	} else {
		o.lease.CompleteCopy()
	}
	return jobs.version, nil
}

// loadHome checks the owner row of one home, and adds the home's worker rows to
// workers unless a newer row of the worker is there.
func (o *cellOwner) loadHome(home int, rows []rock.Row, workers map[string]workerRow) error {
	ownerVersion, _ := o.lease.Versions(home)
	for _, r := range rows {
		_, name := splitKey(r.Key())
		switch {
		case name == ownerName && r.Version() != ownerVersion:
			return fmt.Errorf("home %d of the cell has another owner: its row has version %d, not %d", home, r.Version(), ownerVersion)
		case strings.HasPrefix(name, workerPrefix):
			var w workerRow
			if err := cbor.Unmarshal(r.Value(), &w); err != nil {
				return fmt.Errorf("decode worker row %q: %w", r.Key(), err)
			}
			id := strings.TrimPrefix(name, workerPrefix)
			if other, ok := workers[id]; !ok || w.Stamp.After(other.Stamp) {
				workers[id] = w
				o.stateOutsideMain = o.stateOutsideMain || home != o.lease.Main()
			}
		}
	}
	return nil
}

// loadProgress collects the newest progress of each job.
func (o *cellOwner) loadProgress(rows []rock.Row) {
	o.pendingProgress = map[string]works.Progress{}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		home, _ := homeNumber(part)
		if suffix == outcomeSuffix && home != o.lease.Main() {
			o.stateOutsideMain = true
		}
		if suffix != progressSuffix {
			continue
		}
		p, err := works.DecodeProgress(r.Value())
		if err != nil {
			o.log.WithError(err).WithField("row", r.Key()).Error("Progress cannot be read.")
			continue
		}
		if other, ok := o.pendingProgress[id]; !ok || p.Stamp.After(other.Stamp) {
			o.pendingProgress[id] = p
			o.stateOutsideMain = o.stateOutsideMain || home != o.lease.Main()
		}
	}
}

// formerLeaseMargin is added to the time until which a former owner's leases may last.
// It covers the delivery of the last orders and the age of the clock readings on which
// they were based.
const formerLeaseMargin = time.Second

// initState creates the cell's state. former holds the workers of former owners and
// the ends of their last leases.
func (o *cellOwner) initState(former map[string]time.Time) {
	s := &o.site.settings
	c := cell.Settings{
		Pool: o.pool, Fence: o.fence, LeaseDuration: s.LeaseDuration, MaxLeaseDuration: s.MaxLeaseDuration, FormerWorkers: former,
		MaxStopDuration: s.MaxStopDuration, RemoteSlowdown: s.RemoteSlowdown, MaxEarlyStart: s.MaxEarlyStart, EndedRetention: retentionFactor * s.OutcomeRetention,
	}
	if !o.firstOwner {
		c.FormerLeasesEndAt = o.site.now().Add(time.Duration(float64(s.LeaseDuration)*leaseClockFactor) + formerLeaseMargin)
	}
	o.state = cell.New(c)
	o.state.SetQueues(o.site.view.queues())
	o.extraParts, o.unmarkedOutcomes, o.pendingOutcomes = map[string][]string{}, map[string]works.Outcome{}, map[string]works.Outcome{}
	o.unreadParts, o.deferredRows, o.outcomesToCopy = map[string]uint64{}, nil, nil
}

// leaseClockFactor is how much longer a lease may last by the entry's clock, because a
// worker's clock may be 2 % slow.
const leaseClockFactor = 1.03
