package site

import (
	"context"
	"hash/fnv"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/resize"
	"bramleyrock/core/tenure"
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
			if !c.givenAt.IsZero() && now.Sub(c.givenAt) < tenure.AversionTime {
				delay += tenure.Aversion
			}
			action = c.tenure.Next(now, s.me, since, delay)
		}
	})
	return action == tenure.Take
}

// delay returns how long the entry lets others go first.
func (s *Site) delay(cell string, owned int) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(cell + "\x00" + s.me.Name)) // never fails
	share := time.Duration(h.Sum32()%1000) * takeSpread / 1000
	slow := time.Duration(max(0, enoughShare/max(s.settings.CPUShare, 0.01)-1) * float64(slowPenalty))
	return share + slow + time.Duration(owned)*takePenalty
}

// challenge tries to take a cell, and owns it in a goroutine of the group.
func (s *Site) challenge(ctx context.Context, g *group.Group, cell string) {
	var ownerVersion, beatVersion uint64
	var before tenure.Owner
	var pool string
	var activity resize.Activity
	s.view.withCell(cell, func(c *cellView) {
		ownerVersion, beatVersion = c.tenure.Versions()
		before, pool = c.tenure.Owner(), c.pool
		if c.beat.Told {
			activity.Resume(c.beatAt, time.Duration(c.beat.RestMS)*time.Millisecond, c.beat.Surged)
		}
	})
	value, err := encode(s.me)
	if err != nil {
		s.log.WithError(err).Error("Owner cannot be encoded.")
		return
	}
	empty, err := encode(beat{})
	if err != nil {
		s.log.WithError(err).Error("Renewal cannot be encoded.")
		return
	}
	var t rock.Transaction
	t.Require(key(cellTable, cell, ownerName), ownerVersion)
	t.Require(key(cellTable, cell, beatName), beatVersion)
	t.Put(key(cellTable, cell, ownerName), value)
	t.Put(key(cellTable, cell, beatName), empty)
	sent := s.now()
	_, err = s.settings.Store.Apply(ctx, t)
	s.heard(err)
	if err != nil {
		s.log.WithError(err).WithField("cell", cell).WithField("owner", before.Name).Info("Cell was not taken.")
		if _, err := s.readCell(ctx, cell); err != nil {
			s.log.WithError(err).WithField("cell", cell).Info("Cell cannot be read.")
			return
		}
		owner := tenure.Owner{}
		s.view.withCell(cell, func(c *cellView) { owner = c.tenure.Owner() })
		if owner != s.me {
			return
		}
	}
	s.meters.taken.Inc(1)
	s.view.setOwned(cell, true)
	o := &owner{site: s, cell: cell, pool: pool, table: jobTable(cell), actUntil: sent.Add(tenure.ActFor), events: make(chan func(time.Time), maxEvents), takenAt: s.now(), first: ownerVersion == 0, activity: activity}
	o.log = s.log.WithField("cell", cell)
	o.log.WithField("former", before.Name).WithField("former_version", ownerVersion).Info("Cell taken.")
	g.Go("own cell "+cell, func(ctx context.Context) error {
		defer s.view.setOwned(cell, false)
		o.run(ctx)
		return nil
	})
}
