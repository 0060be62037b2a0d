package site

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/resize"
	"bramleyrock/core/tenure"

	"github.com/sirupsen/logrus"
)

const (
	// acquireInterval is the time between checks for cells without an owner.
	acquireInterval = 50 * time.Millisecond
	// takeoverJitter bounds the delay that is derived from the names of cell and
	// entry, so that equally loaded challengers do not take a cell at the same time.
	takeoverJitter = 200 * time.Millisecond
	// ownedCellDelay is added to the takeover delay for each cell that the entry
	// already owns, so that cells spread over the entries.
	ownedCellDelay = 150 * time.Millisecond
	// sufficientCPUShare is the share of a core with which an entry can own the cell
	// of a large pool. It is the share on present hosts.
	sufficientCPUShare = 0.4
	// lowCPUDelay is added to the takeover delay of an entry with half that share.
	lowCPUDelay = 1200 * time.Millisecond
)

// acquireCells acquires cells that have no owner, until ctx ends.
func (s *Site) acquireCells(ctx context.Context, g *group.Group) error {
	for {
		if err := sleep(ctx, acquireInterval); err != nil {
			return err
		}
		for _, cell := range s.view.cellNames() {
			if s.shouldAcquire(cell) {
				s.acquire(ctx, g, cell)
			}
			s.readUnreadHomes(g, cell)
		}
	}
}

// shouldAcquire reports whether the entry should acquire the cell now.
func (s *Site) shouldAcquire(cell string) bool {
	now, since := s.now(), s.view.renewalsReadSince()
	action := tenure.Wait
	var home int
	var obstacle tenure.Obstacle
	var idle time.Duration
	var stalled bool
	s.view.withCell(cell, func(c *cellView) {
		if !c.owned {
			delay := s.takeoverDelay(cell, s.view.ownedCells)
			if !c.releasedAt.IsZero() && now.Sub(c.releasedAt) < tenure.ReleaseBackoffPeriod {
				delay += tenure.ReleaseBackoff
			}
			action = c.challenger.NextAction(now, s.self, since, delay)
			home, obstacle = c.challenger.Obstacle(now, s.self, since, delay)
			idle, stalled = c.stalled(now, obstacle)
		}
	})
	if stalled {
		s.log.WithFields(logrus.Fields{"cell": cell, "home": home, "cause": string(obstacle), "idle_ms": idle.Milliseconds()}).Info("Cell without an owner is not taken.")
	}
	return action == tenure.Acquire
}

// maxOwnerless is how long a cell may seem to have no owner without being logged. A
// takeover takes less.
const maxOwnerless = 4 * time.Second

// stalled returns for how long no home of the cell was seen to change. It reports true if
// a line about the cell is due, because that is too long and the obstacle lasts.
func (c *cellView) stalled(now time.Time, obstacle tenure.Obstacle) (time.Duration, bool) {
	if c.checkedSince.IsZero() {
		c.checkedSince = now
	}
	last := c.challenger.ChangedAt()
	if last.IsZero() {
		last = c.checkedSince
	}
	idle := now.Sub(last)
	if obstacle == "" || idle < maxOwnerless || now.Sub(c.stalledLoggedAt) < waitLogInterval {
		return idle, false
	}
	c.stalledLoggedAt = now
	return idle, true
}

// takeoverDelay returns how long the entry waits so that better suited entries can
// acquire the cell first. An entry that owns fewer cells and has more CPU waits less.
func (s *Site) takeoverDelay(cell string, owned int) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(cell + "\x00" + s.self.Name)) // never fails
	jitter := time.Duration(h.Sum32()%1000) * takeoverJitter / 1000
	lowCPU := time.Duration(max(0, sufficientCPUShare/max(s.settings.CPUShare, 0.01)-1) * float64(lowCPUDelay))
	return jitter + lowCPU + time.Duration(owned)*ownedCellDelay
}

// unreadHomeRetryDelay is the time between reads of homes that must be read before the
// entry can acquire the cell. Until they are, the cell has no owner.
const unreadHomeRetryDelay = 200 * time.Millisecond

// readUnreadHomes reads the homes of a cell that must be read before the entry can acquire
// the cell: their part of the table may be down.
func (s *Site) readUnreadHomes(g *group.Group, cell string) {
	now := s.now()
	var unread []int
	s.view.withCell(cell, func(c *cellView) {
		if !c.owned && !c.readingHomes && now.Sub(c.homesReadAt) >= unreadHomeRetryDelay {
			unread = c.challenger.HomesToRead(now, s.self)
		}
		if len(unread) > 0 {
			c.readingHomes, c.homesReadAt = true, now
		}
	})
	if len(unread) == 0 {
		return
	}
	g.Go("read homes", func(ctx context.Context) error {
		defer s.view.withCell(cell, func(c *cellView) { c.readingHomes = false })
		_, _ = s.readHomes(ctx, cell, unread) // readHomes logs failures, and they are retried
		return nil
	})
}

// acquire tries to acquire a cell. If it succeeds, it runs the owner of the cell in a
// goroutine of the group.
func (s *Site) acquire(ctx context.Context, g *group.Group, cell string) {
	var record tenure.Record
	var before tenure.Owner
	var former uint64
	var pool string
	var activity resize.Activity
	s.view.withCell(cell, func(c *cellView) {
		record, before, pool = c.challenger.Record(), c.challenger.Owner(), c.pool
		former, _ = c.challenger.Home(record.Main).Versions()
		if c.renewal.HasLoad {
			activity.Restore(c.renewalAt, time.Duration(c.renewal.SinceSurgeMS)*time.Millisecond, c.renewal.SurgeKnown)
		}
	})
	log := s.log.WithFields(logrus.Fields{"cell": cell, "former": before.Name, "former_version": former, "homes": fmt.Sprint(record.Homes)})
	taken, ok := s.acquireHomes(ctx, log, cell, record)
	if !ok {
		return
	}
	s.meters.taken.Inc(1)
	s.view.setOwned(cell, true)
	o := &cellOwner{
		site: s, cell: cell, pool: pool, jobTable: jobTable(cell), lease: tenure.NewLease(record, taken), pendingWrites: map[int]*homeWrite{},
		events: make(chan func(time.Time), maxEvents), acquiredAt: s.now(), firstOwner: former == 0, activity: activity,
	}
	o.fence = o.lease.Fence()
	o.log = s.log.WithField("cell", cell)
	log.WithField("fence", o.fence).Info("Cell taken.")
	g.Go("own cell "+cell, func(ctx context.Context) error {
		defer s.view.setOwned(cell, false)
		o.run(ctx)
		return nil
	})
}

// acquireHomes acquires all homes of a cell that are in use. It acquires one home
// first, so that only one of several challengers continues, and then the others in
// parallel.
func (s *Site) acquireHomes(ctx context.Context, log *logrus.Entry, cell string, record tenure.Record) ([]tenure.AcquiredHome, bool) {
	first, ok := s.acquireHome(ctx, log, cell, record.Homes[0], record)
	if !ok {
		return nil, false
	}
	others := record.Homes[1:]
	results := make(chan tenure.AcquiredHome, len(others))
	g := group.New(ctx)
	for _, home := range others {
		g.Go("acquire home", func(ctx context.Context) error {
			if t, ok := s.acquireHome(ctx, log, cell, home, record); ok {
				results <- t
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		log.WithError(err).Info("Cell was not taken.")
		return nil, false
	}
	close(results)
	taken := []tenure.AcquiredHome{first}
	for t := range results {
		taken = append(taken, t)
	}
	return taken, len(taken) == len(record.Homes)
}

// maxAcquireAttempts bounds the attempts to acquire one home: the answer may be lost.
const maxAcquireAttempts = 3

// acquireHome acquires one home of a cell, on condition that its ownership rows have
// not changed since they were read.
func (s *Site) acquireHome(ctx context.Context, log *logrus.Entry, cell string, home int, record tenure.Record) (tenure.AcquiredHome, bool) {
	value, err := encode(s.self)
	if err != nil {
		s.log.WithError(err).Error("Owner row cannot be encoded.")
		return tenure.AcquiredHome{}, false
	}
	firstRenewal, err := encode(renewal{Record: record})
	if err != nil {
		s.log.WithError(err).Error("Renewal row cannot be encoded.")
		return tenure.AcquiredHome{}, false
	}
	part := homePart(cell, home)
	for range maxAcquireAttempts {
		var ownerVersion, renewalVersion uint64
		s.view.withCell(cell, func(c *cellView) { ownerVersion, renewalVersion = c.challenger.Home(home).Versions() })
		var t rock.Transaction
		t.Require(key(cellTable, part, ownerName), ownerVersion)
		t.Require(key(cellTable, part, renewalName), renewalVersion)
		t.Put(key(cellTable, part, ownerName), value)
		t.Put(key(cellTable, part, renewalName), firstRenewal)
		sent := s.now()
		version, err := s.settings.Store.Apply(ctx, t)
		s.recordPartAnswer(part, err)
		if err == nil {
			return tenure.AcquiredHome{Home: home, Version: version, SentAt: sent}, true
		}
		log.WithError(err).WithField("home", home).Info("Cell was not taken.")
		if !isAnswer(err) {
			s.view.withCell(cell, func(c *cellView) { c.challenger.ObserveFailure(home) })
		}
		if _, err := s.readHomes(ctx, cell, []int{home}); err != nil {
			return tenure.AcquiredHome{}, false
		}
		mine := false
		s.view.withCell(cell, func(c *cellView) { mine = c.challenger.Home(home).Owner() == s.self })
		if !mine {
			return tenure.AcquiredHome{}, false
		}
	}
	return tenure.AcquiredHome{}, false
}
