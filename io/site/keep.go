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
	// keepInterval is the time between looks at who owns the cells.
	keepInterval = 50 * time.Millisecond
	// takeSpread is the time over which challengers of equal load spread.
	takeSpread = 200 * time.Millisecond
	// takePenalty is how much later an entry takes a cell for each that it
	// owns already, so that cells spread over the entries.
	takePenalty = 150 * time.Millisecond
	// enoughShare is the share of a core with which an entry can own the cell
	// of a large pool, that of the hosts of today.
	enoughShare = 0.4
	// slowPenalty is how much later an entry with half of that takes a cell.
	slowPenalty = 1200 * time.Millisecond
)

// keep takes cells that have no owner, until ctx ends.
func (s *Site) keep(ctx context.Context, g *group.Group) error {
	for {
		if err := pause(ctx, keepInterval); err != nil {
			return err
		}
		for _, cell := range s.view.cellNames() {
			if s.wants(cell) {
				s.challenge(ctx, g, cell)
			}
			s.learn(g, cell)
		}
	}
}

// wants reports whether the entry should take the cell now.
func (s *Site) wants(cell string) bool {
	now, since := s.now(), s.view.since()
	action := tenure.Wait
	s.view.withCell(cell, func(c *cellView) {
		if !c.owned {
			delay := s.delay(cell, s.view.owned)
			if !c.givenAt.IsZero() && now.Sub(c.givenAt) < tenure.ReleaseBackoffPeriod {
				delay += tenure.ReleaseBackoff
			}
			action = c.claim.NextAction(now, s.me, since, delay)
		}
	})
	return action == tenure.Acquire
}

// delay returns how long the entry lets others go first.
func (s *Site) delay(cell string, owned int) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(cell + "\x00" + s.me.Name)) // never fails
	share := time.Duration(h.Sum32()%1000) * takeSpread / 1000
	slow := time.Duration(max(0, enoughShare/max(s.settings.CPUShare, 0.01)-1) * float64(slowPenalty))
	return share + slow + time.Duration(owned)*takePenalty
}

// unknownRetry is the time between tries to read the homes of a cell that are not
// known, as those that were down when the entry started.
const unknownRetry = 500 * time.Millisecond

// learn reads the homes of a cell that must be known before anybody can take it.
func (s *Site) learn(g *group.Group, cell string) {
	now := s.now()
	var unknown []int
	s.view.withCell(cell, func(c *cellView) {
		if !c.owned && !c.reading && now.Sub(c.readAt) >= unknownRetry {
			unknown = c.claim.UnreadHomes()
		}
		if len(unknown) > 0 {
			c.reading, c.readAt = true, now
		}
	})
	if len(unknown) == 0 {
		return
	}
	g.Go("read homes", func(ctx context.Context) error {
		defer s.view.withCell(cell, func(c *cellView) { c.reading = false })
		_, _ = s.readHomes(ctx, cell, unknown) // what fails is logged there, and tried again
		return nil
	})
}

// challenge tries to take a cell, and owns it in a goroutine of the group.
func (s *Site) challenge(ctx context.Context, g *group.Group, cell string) {
	var record tenure.Record
	var before tenure.Owner
	var former uint64
	var pool string
	var activity resize.Activity
	s.view.withCell(cell, func(c *cellView) {
		record, before, pool = c.claim.Record(), c.claim.Owner(), c.pool
		former, _ = c.claim.Home(record.Main).Versions()
		if c.beat.Told {
			activity.Restore(c.beatAt, time.Duration(c.beat.RestMS)*time.Millisecond, c.beat.Surged)
		}
	})
	log := s.log.WithFields(logrus.Fields{"cell": cell, "former": before.Name, "former_version": former, "homes": fmt.Sprint(record.Homes)})
	taken, ok := s.takeHomes(ctx, log, cell, record)
	if !ok {
		return
	}
	s.meters.taken.Inc(1)
	s.view.setOwned(cell, true)
	o := &owner{
		site: s, cell: cell, pool: pool, table: jobTable(cell), lease: tenure.NewLease(record, taken), outstanding: map[int]*outstanding{},
		events: make(chan func(time.Time), maxEvents), takenAt: s.now(), first: former == 0, activity: activity,
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

// takeHomes takes all homes of a cell that count: one first, so that of several
// challengers only one goes on, and then the others at the same time.
func (s *Site) takeHomes(ctx context.Context, log *logrus.Entry, cell string, record tenure.Record) ([]tenure.AcquiredHome, bool) {
	first, ok := s.takeHome(ctx, log, cell, record.Homes[0], record)
	if !ok {
		return nil, false
	}
	others := record.Homes[1:]
	results := make(chan tenure.AcquiredHome, len(others))
	g := group.New(ctx)
	for _, home := range others {
		g.Go("take home", func(ctx context.Context) error {
			if t, ok := s.takeHome(ctx, log, cell, home, record); ok {
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

// takeTries bounds the tries to take one home: the answer may be lost.
const takeTries = 3

// takeHome takes one home of a cell, on condition that it is as it was seen.
func (s *Site) takeHome(ctx context.Context, log *logrus.Entry, cell string, home int, record tenure.Record) (tenure.AcquiredHome, bool) {
	value, err := encode(s.me)
	if err != nil {
		s.log.WithError(err).Error("Owner cannot be encoded.")
		return tenure.AcquiredHome{}, false
	}
	renewal, err := encode(beat{Record: record})
	if err != nil {
		s.log.WithError(err).Error("Renewal cannot be encoded.")
		return tenure.AcquiredHome{}, false
	}
	part := homePart(cell, home)
	for range takeTries {
		var ownerVersion, beatVersion uint64
		s.view.withCell(cell, func(c *cellView) { ownerVersion, beatVersion = c.claim.Home(home).Versions() })
		var t rock.Transaction
		t.Require(key(cellTable, part, ownerName), ownerVersion)
		t.Require(key(cellTable, part, beatName), beatVersion)
		t.Put(key(cellTable, part, ownerName), value)
		t.Put(key(cellTable, part, beatName), renewal)
		sent := s.now()
		version, err := s.settings.Store.Apply(ctx, t)
		s.heardPart(part, err)
		if err == nil {
			return tenure.AcquiredHome{Home: home, Version: version, SentAt: sent}, true
		}
		log.WithError(err).WithField("home", home).Info("Cell was not taken.")
		if _, err := s.readHomes(ctx, cell, []int{home}); err != nil {
			return tenure.AcquiredHome{}, false
		}
		mine := false
		s.view.withCell(cell, func(c *cellView) { mine = c.claim.Home(home).Owner() == s.me })
		if !mine {
			return tenure.AcquiredHome{}, false
		}
	}
	return tenure.AcquiredHome{}, false
}
