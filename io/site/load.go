package site

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
)

// loadRetryDelay is the delay before a failed read of a cell is retried.
const loadRetryDelay = 50 * time.Millisecond

// maxLoadTime is how long an owner may take to read its cell. After that, another entry
// may be able to.
const maxLoadTime = 5 * time.Second

// cellRows holds the rows of a cell.
type cellRows struct {
	// homes holds the rows of the cell table, by home.
	homes map[int][]rock.Row
	jobs  jobListing
	// jobsReadAt is when the reading of the jobs began.
	jobsReadAt time.Time
	// epochEarliest and epochLatest bound the time of the entry's clock at which the
	// clock of the platform's table was zero.
	epochEarliest time.Time
	epochLatest   time.Time
}

// load reads the cell's rows and creates its state. It returns the version from which
// changes of the jobs must be followed, and false if the cell is not to be served. It
// renews the ownership meanwhile: while the platform is slow, reading takes longer than
// the lease lasts.
func (o *cellOwner) load(ctx context.Context) (uint64, bool) {
	results := make(chan cellRows, 1)
	homes := o.lease.HeldHomes()
	read := func(delay time.Duration) {
		o.group.Go("read cell", func(ctx context.Context) error {
			o.readRows(ctx, homes, delay, results)
			return nil
		})
	}
	read(0)
	t := time.NewTicker(maxDecideInterval)
	defer t.Stop()
	for {
		select {
		case f := <-o.events:
			f(o.site.now())
		case rows := <-results:
			if err := o.applyRows(o.site.now(), rows); err != nil {
				o.log.WithError(err).Info("Cell cannot be read yet.")
				read(loadRetryDelay)
				break
			}
			return rows.jobs.version, true
		case <-t.C:
		case <-ctx.Done():
			return 0, false
		}
		now := o.site.now()
		if o.lostReason != "" {
			return 0, false
		}
		if now.Sub(o.acquiredAt) > maxLoadTime {
			o.log.Warn("Cell cannot be read, its ownership is left to expire.")
			return 0, false
		}
		for _, home := range o.lease.HomesToRenew(now, false) {
			o.commit(now, home)
		}
	}
}

// readRows reads the rows of the cell after a delay, with retries, and sends them to
// results, unless ctx ends first.
func (o *cellOwner) readRows(ctx context.Context, homes []int, delay time.Duration, results chan<- cellRows) {
	for sleep(ctx, delay) == nil {
		rows, err := o.site.readCellRows(ctx, o.cell, homes)
		if err == nil {
			results <- rows
			return
		}
		o.log.WithError(err).Info("Cell cannot be read yet.")
		delay = loadRetryDelay
	}
}

// readCellRows reads the rows of a cell from its intake parts and the given homes.
func (s *Site) readCellRows(ctx context.Context, cell string, homes []int) (cellRows, error) {
	r := cellRows{homes: map[int][]rock.Row{}}
	for i, home := range homes {
		sent := s.now()
		c, err := s.settings.Store.List(ctx, cellTable, homePart(cell, home), "", "")
		if err != nil {
			return r, err
		}
		if i == 0 {
			r.epochEarliest, r.epochLatest = sent.Add(-c.Now), s.now().Add(-c.Now)
		}
		r.homes[home] = c.Rows
	}
	r.jobsReadAt = s.now()
	var err error
	r.jobs, err = s.listJobs(ctx, cell, homes)
	return r, err
}

// applyRows creates the state of the cell from its rows.
func (o *cellOwner) applyRows(now time.Time, r cellRows) error {
	workers := map[string]workerRow{}
	o.stateOutsideMain = false
	for _, home := range o.lease.HeldHomes() {
		if err := o.loadHome(home, r.homes[home], workers); err != nil {
			return err
		}
	}
	o.tableEpochEarliest, o.tableEpochLatest, o.jobsKnownUpTo = r.epochEarliest, r.epochLatest, r.jobsReadAt
	former := map[string]time.Time{}
	for id, w := range workers {
		former[id] = o.entryTime(w.UntilMS)
	}
	o.initState(now, former)
	o.addUnreadParts(now, r.jobs.unreadParts, r.jobs.version)
	for _, home := range o.lease.ExcludedHomes() {
		o.addUnreadParts(now, []string{homePart(o.cell, home)}, r.jobs.version)
	}
	o.loadProgress(r.jobs.rows)
	o.applyJobRows(now, r.jobs.rows)
	maps.DeleteFunc(o.pendingProgress, func(id string, _ jobProgress) bool { return o.state.HasEnded(id) })
	if o.stateOutsideMain {
		o.startCopy(now)
	} else {
		o.lease.CompleteCopy()
	}
	return nil
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

// jobProgress holds the newest stored progress of a job, by chunk of its tasks.
type jobProgress map[int]works.Progress

// loadProgress collects the newest progress of each job.
func (o *cellOwner) loadProgress(rows []rock.Row) {
	o.pendingProgress = map[string]jobProgress{}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		home, _ := homeNumber(part)
		if suffix == outcomeSuffix && home != o.lease.Main() {
			o.stateOutsideMain = true
		}
		chunk, ok := progressChunk(suffix)
		if !ok {
			continue
		}
		p, err := works.DecodeProgress(r.Value())
		if err != nil {
			o.log.WithError(err).WithField("row", r.Key()).Error("Progress cannot be read.")
			continue
		}
		if o.pendingProgress[id] == nil {
			o.pendingProgress[id] = jobProgress{}
		}
		if other, ok := o.pendingProgress[id][chunk]; !ok || p.Stamp.After(other.Stamp) {
			o.pendingProgress[id][chunk] = p
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
func (o *cellOwner) initState(now time.Time, former map[string]time.Time) {
	s := &o.site.settings
	c := cell.Settings{
		Pool: o.pool, Fence: o.fence, LeaseDuration: s.LeaseDuration, MaxLeaseDuration: s.MaxLeaseDuration, FormerWorkers: former,
		MaxStopDuration: s.MaxStopDuration, RemoteSlowdown: s.RemoteSlowdown, MaxEarlyStart: s.MaxEarlyStart, EndedRetention: retentionFactor * s.OutcomeRetention,
	}
	if !o.firstOwner {
		c.FormerLeasesEndAt = now.Add(time.Duration(float64(s.LeaseDuration)*leaseClockFactor) + formerLeaseMargin)
	}
	o.state = cell.New(c)
	o.applyQueues()
	o.extraParts, o.unmarkedOutcomes, o.pendingOutcomes = map[string][]string{}, map[string]works.Outcome{}, map[string]works.Outcome{}
	o.unreadParts, o.deferredRows, o.outcomesToCopy = map[string]uint64{}, nil, nil
}

// leaseClockFactor is how much longer a lease may last by the entry's clock, because a
// worker's clock may be 2 % slow.
const leaseClockFactor = 1.03
