package site

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"
	"bramleyrock/core/trail"

	"github.com/fxamacker/cbor/v2"
)

const (
	// feedWait is how long a feed call waits for a change. A connection that has
	// gone silent is detected after this time plus the slack of the client's
	// timeout, and a change of the configuration must be in force 2 s after it was
	// made.
	feedWait = 700 * time.Millisecond
	// feedRetryDelay is the delay before a failed call is retried.
	feedRetryDelay = 100 * time.Millisecond
	// renewalPollInterval is the time between reads of the cells' renewals. The
	// owner of an idle cell renews every [tenure.RenewInterval].
	renewalPollInterval = 250 * time.Millisecond
)

// tableFollower describes how to follow a table. Its rows are listed first, then
// every change is handled. The rows are listed again if the table no longer keeps
// the changes since the last call.
type tableFollower struct {
	name string
	// list reads the rows and returns the version from which to follow.
	list func(ctx context.Context) (uint64, error)
	// handle applies changes. After it returns, all changes that were made before
	// the call was sent are applied. There may be none.
	handle func(sent time.Time, rows []rock.Row)
	// interval returns the delay between calls, so that one call returns many
	// changes; nil means no delay.
	interval func() time.Duration
	// enabled reports whether the table must be followed now; nil means always.
	enabled func() bool
	// onResult is called with the outcome of each call; it may be nil.
	onResult func(err error)
}

// fixedInterval returns a function that always returns d.
func fixedInterval(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// enabledPollInterval is the time between checks whether a table must be followed
// again. It is short compared with a takeover.
const enabledPollInterval = 30 * time.Millisecond

// follow lists the table and handles its changes until ctx ends.
func (s *Site) follow(ctx context.Context, t tableFollower) error {
	var version uint64
	listed := false
	for ctx.Err() == nil {
		if t.enabled != nil && !t.enabled() {
			listed = false
			if err := sleep(ctx, enabledPollInterval); err != nil {
				break
			}
			continue
		}
		var err error
		if !listed {
			version, err = t.list(ctx)
			listed = err == nil
		} else {
			var c rock.Changes
			sent := s.now()
			c, err = s.settings.Store.Changes(ctx, t.name, version, feedWait)
			if err == nil {
				version = max(version, c.Version)
				t.handle(sent, c.Rows)
			}
		}
		if ctx.Err() != nil {
			break
		}
		s.recordAnswer(err)
		if t.onResult != nil {
			t.onResult(err)
		}
		wait := time.Duration(0)
		if t.interval != nil {
			wait = t.interval()
		}
		if err != nil {
			wait = max(wait, feedRetryDelay)
			if rock.ReasonOf(err) == rock.Expired {
				listed = false
				s.log.WithField("table", t.name).Warn("Changes are no longer kept, listing the table again.")
			}
		}
		if err := sleep(ctx, wait); err != nil {
			break
		}
	}
	return ctx.Err()
}

// followOperator follows the configuration and the maintenance waves.
func (s *Site) followOperator(ctx context.Context) error {
	name := s.settings.PlatformTables.OperatorTable
	return s.follow(ctx, tableFollower{
		name: name,
		list: func(ctx context.Context) (uint64, error) {
			c, err := s.settings.Store.List(ctx, name, "", "", "")
			if err != nil {
				return 0, err
			}
			s.applyOperatorRows(c.Rows)
			return c.Version, nil
		},
		handle: func(_ time.Time, rows []rock.Row) { s.applyOperatorRows(rows) },
	})
}

func (s *Site) applyOperatorRows(rows []rock.Row) {
	if len(rows) == 0 {
		return
	}
	o := s.settings.PlatformTables
	for _, r := range rows {
		_, name := splitKey(r.Key())
		switch {
		case !r.Exists():
		case name == o.ConfigName:
			s.applyConfig(r)
		case strings.HasPrefix(name, o.WavePrefix):
			w, err := o.DecodeWave(r.Value())
			if err != nil {
				s.log.WithError(err).WithField("row", r.Key()).Warn("Wave cannot be read.")
				continue
			}
			s.view.setWave(strings.TrimPrefix(name, o.WavePrefix), w, s.now())
			s.log.WithField("wave", w.Number).WithField("hosts", len(w.Hosts)).WithField("at_once", w.MaxParallel).Info("Wave is wanted.")
		}
	}
	s.view.notify()
}

func (s *Site) applyConfig(r rock.Row) {
	c, err := s.settings.PlatformTables.DecodeConfig(r.Value())
	if err != nil {
		s.log.WithError(err).WithField("row_version", r.Version()).Error("Configuration cannot be read.")
		return
	}
	if s.view.setConfig(c, r.Version()) {
		s.log.WithField("version", c.Version).WithField("row_version", r.Version()).WithField("queues", len(c.Queues)).Info("Configuration in force.")
	}
}

// followWorkers follows the registrations of workers while the entry owns a cell.
// Only the owner of a cell needs them.
func (s *Site) followWorkers(ctx context.Context) error {
	name := s.settings.PlatformTables.WorkerTable
	return s.follow(ctx, tableFollower{
		name: name,
		list: func(ctx context.Context) (uint64, error) {
			c, err := s.settings.Store.List(ctx, name, "", "", "")
			if err != nil {
				return 0, err
			}
			all := map[string]rock.Worker{}
			for _, r := range c.Rows {
				if id, w := s.decodeWorker(r); w != nil {
					all[id] = *w
				}
			}
			s.view.setWorkers(all)
			s.view.notify()
			return c.Version, nil
		},
		handle: func(_ time.Time, rows []rock.Row) {
			for _, r := range rows {
				id, w := s.decodeWorker(r)
				s.view.setWorker(id, w)
			}
			if len(rows) > 0 {
				s.view.notify()
			}
		},
		interval: fixedInterval(workerPollInterval),
		enabled: func() bool {
			owns := s.view.ownsAnyCell()
			if !owns {
				s.view.invalidateWorkers()
			}
			return owns
		},
	})
}

// workerPollInterval is the time between reads of changed registrations. A draining
// worker must get no new work later than 2 s after the change.
const workerPollInterval = 250 * time.Millisecond

// maxWorkerID is the longest id of a worker for which the owner of a cell can store a row: the
// name of a row has at most 200 bytes.
const maxWorkerID = 200 - len(workerPrefix)

// decodeWorker returns the worker id of a row and its registration, which is nil if
// the row is deleted or invalid.
func (s *Site) decodeWorker(r rock.Row) (string, *rock.Worker) {
	_, id := splitKey(r.Key())
	if !r.Exists() {
		return id, nil
	}
	w, err := s.settings.PlatformTables.DecodeWorker(id, r.Value(), s.now())
	if err == nil && len(id) > maxWorkerID {
		err = fmt.Errorf("id %.40q has %d bytes, at most %d can be stored", id, len(id), maxWorkerID)
	}
	if err != nil {
		s.meters.badWorkers.Inc(1)
		s.log.WithError(err).Warn("Worker registration is invalid.")
		return id, nil
	}
	return id, &w
}

// followCells follows the ownership and renewals of all cells, and the records of queues.
func (s *Site) followCells(ctx context.Context) error {
	return s.follow(ctx, tableFollower{
		name: cellTable,
		list: func(ctx context.Context) (uint64, error) {
			for s.view.current() == nil {
				if err := sleep(ctx, feedRetryDelay); err != nil {
					return 0, err
				}
			}
			var version uint64
			for _, cell := range s.view.cellNames() {
				v, err := s.readCell(ctx, cell)
				if err != nil {
					return 0, err
				}
				if version == 0 {
					version = v
				}
			}
			for _, number := range allCopies {
				// A copy that cannot be read is read later by keepTrail.
				if _, err := s.readTrail(ctx, number); err != nil {
					s.trail.with(func(t *trail.Trail) { t.ObserveGap(number) })
					s.log.WithError(err).WithField("copy", number).Info("Records of queues cannot be read.")
				}
			}
			return version, nil
		},
		handle:   func(_ time.Time, rows []rock.Row) { s.applyCellRows(rows) },
		interval: s.renewalInterval,
		onResult: s.recordRenewalRead,
	})
}

// recordRenewalRead records whether a call that reads the cells' renewals was answered.
func (s *Site) recordRenewalRead(err error) { s.view.recordRenewalRead(s.now(), isAnswer(err)) }

// idleRenewalPollInterval is the time between reads of the renewals by an entry that
// owns no cell and has too little CPU to be likely to acquire one. There are many such
// entries, so their reads are most of the load. Callers accept numbers of waiting jobs
// that are up to 2 s old.
const idleRenewalPollInterval = 600 * time.Millisecond

// renewalInterval returns the time between reads of the cells' renewals.
func (s *Site) renewalInterval() time.Duration {
	if s.settings.CPUShare < sufficientCPUShare && !s.view.ownsAnyCell() {
		return idleRenewalPollInterval
	}
	return renewalPollInterval
}

// readCell reads the ownership rows of a cell in all its homes. It returns an error if
// no home can be read.
func (s *Site) readCell(ctx context.Context, cell string) (uint64, error) {
	all := make([]int, tenure.HomeCount)
	for i := range all {
		all[i] = i
	}
	return s.readHomes(ctx, cell, all)
}

// readHomes reads the ownership rows of some homes of a cell in parallel. It returns
// the oldest version that was read, and an error if none of the homes can be read.
func (s *Site) readHomes(ctx context.Context, cell string, homes []int) (uint64, error) {
	var mu sync.Mutex
	var version uint64
	var failed error
	g := group.New(ctx)
	for _, home := range homes {
		g.Go("read home", func(ctx context.Context) error {
			c, err := s.settings.Store.List(ctx, cellTable, homePart(cell, home), renewalName, ownerName+"\x00")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				s.log.WithError(err).WithField("cell", cell).WithField("home", home).Info("Home of a cell cannot be read.")
				return nil
			}
			if version == 0 || c.Version < version {
				version = c.Version
			}
			s.applyCellRows(c.Rows)
			s.view.withCell(cell, func(v *cellView) { v.challenger.ObserveRead(s.now(), home) })
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	if version == 0 {
		return 0, failed
	}
	return version, nil
}

// applyCellRows records the owners and renewals in rows of the cell table.
func (s *Site) applyCellRows(rows []rock.Row) {
	now := s.now()
	recorded := false
	defer func() {
		if recorded {
			s.view.notify() // owners need the records of queues that are not configured
		}
	}()
	for _, r := range rows {
		part, name := splitKey(r.Key())
		if number, ok := trailCopy(part); ok {
			s.applyTrailRow(number, r)
			recorded = true
			continue
		}
		home, ok := homeNumber(part)
		if !ok || !r.Exists() {
			continue
		}
		cell := cellOfPart(part)
		switch name {
		case ownerName:
			var o tenure.Owner
			if err := cbor.Unmarshal(r.Value(), &o); err != nil {
				s.log.WithError(err).WithField("cell", cell).Error("Owner of a cell cannot be read.")
				continue
			}
			s.view.withCell(cell, func(v *cellView) { v.challenger.ObserveOwner(now, home, o, r.Version()) })
		case renewalName:
			var latest renewal
			if err := cbor.Unmarshal(r.Value(), &latest); err != nil {
				s.log.WithError(err).WithField("cell", cell).Error("Renewal of a cell cannot be read.")
				continue
			}
			s.view.withCell(cell, func(v *cellView) {
				v.challenger.ObserveRenewal(now, home, latest.Record, r.Version())
				if latest.HasLoad && !v.renewal.Record.NewerThan(latest.Record) {
					v.renewal, v.renewalAt = latest, now
					v.gate.Observe(latest.HeldBytes)
				}
			})
		}
	}
}
