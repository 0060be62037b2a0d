package site

import (
	"context"
	"slices"
	"time"

	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
)

// updateHomes leaves out homes of the cell that do not answer, and makes another one
// the main home if that does not.
func (o *cellOwner) updateHomes(now time.Time) {
	former := o.lease.Main()
	if o.lease.SwitchMain(now) {
		o.log.WithField("former", former).WithField("home", o.lease.Main()).Warn("Another home of the cell is written to.")
		if w := o.pendingWrites[former]; w != nil {
			o.requeue(now, w)
		}
		o.startCopy(now)
	}
	for _, home := range o.lease.ExcludeUnresponsive(now) {
		o.log.WithField("home", home).Warn("Home of the cell is left out.")
	}
}

// startCopy makes the next writes hold all of the cell's state.
func (o *cellOwner) startCopy(now time.Time) {
	o.copying = true
	o.lease.BeginCopy()
	o.outcomesToCopy = o.outcomesToCopy[:0]
	for id := range o.unmarkedOutcomes {
		o.outcomesToCopy = append(o.outcomesToCopy, id)
	}
	o.state.RewriteAll(now)
}

// requeue notes that a write may not have been made, so that it is made again.
func (o *cellOwner) requeue(now time.Time, w *homeWrite) {
	if w.batch != nil {
		o.state.FlushFailed(now, w.batch)
		w.batch = nil
	}
	o.outcomesToCopy = append(o.outcomesToCopy, w.outcomeIDs...)
	w.outcomeIDs = nil
}

// heldHomes returns the homes that the owner has taken.
func (o *cellOwner) heldHomes(ctx context.Context) []int {
	answers := make(chan []int, 1)
	o.enqueue(ctx, func(time.Time) { answers <- o.lease.HeldHomes() })
	select {
	case homes := <-answers:
		return homes
	case <-ctx.Done():
		return nil
	}
}

// reconcileRetryDelay is the time before a failed reading of a home is repeated: outages of
// parts last for seconds.
const reconcileRetryDelay = 100 * time.Millisecond

// reconcileHome reads a home's rows until it can, and notes what they tell: after a write
// that failed or had no answer, or because the home is left out. The condition on the
// renewal row keeps an earlier write from taking effect after the next one.
func (o *cellOwner) reconcileHome(home int, cause error) {
	o.group.Go("find home", func(ctx context.Context) error {
		for ctx.Err() == nil {
			rows, err := o.site.settings.Store.List(ctx, cellTable, homePart(o.cell, home), renewalName, ownerName+"\x00")
			if err != nil {
				_ = sleep(ctx, reconcileRetryDelay) // the loop's condition sees the end
				continue
			}
			var beatVersion, ownerVersion uint64
			var owner tenure.Owner
			for _, r := range rows.Rows {
				switch _, name := splitKey(r.Key()); name {
				case renewalName:
					beatVersion = r.Version()
				case ownerName:
					ownerVersion = r.Version()
					if err := cbor.Unmarshal(r.Value(), &owner); err != nil {
						o.log.WithError(err).Error("Owner of the cell cannot be read.")
					}
				}
			}
			o.enqueue(ctx, func(now time.Time) { o.handleHomeRows(now, home, cause, owner, ownerVersion, beatVersion) })
			return nil
		}
		return nil
	})
}

// handleHomeRows takes in what a home's rows tell.
func (o *cellOwner) handleHomeRows(now time.Time, home int, cause error, owner tenure.Owner, ownerVersion, beatVersion uint64) {
	_, before := o.lease.Versions(home)
	line := o.log.WithField("home", home).WithField("owner", owner.Name).WithField("beat", before).WithField("beat_now", beatVersion)
	if cause != nil {
		line = line.WithField("cause", cause.Error())
	}
	line.Info("Home of the cell is read.")
	o.changed = true
	w := o.pendingWrites[home]
	delete(o.pendingWrites, home)
	if o.lease.Reconcile(home, owner == o.site.self, ownerVersion, beatVersion) {
		o.lostReason = "entry " + owner.Name + " took home " + homePart(o.cell, home)
		return
	}
	if w != nil {
		o.requeue(now, w)
	}
}

// addUnreadParts notes that parts could not be read: jobs that they hold are not known.
func (o *cellOwner) addUnreadParts(now time.Time, parts []string) {
	for _, p := range parts {
		if !slices.Contains(o.unreadParts, p) {
			o.unreadParts = append(o.unreadParts, p)
		}
	}
	o.state.SetJobsIncomplete(now, len(o.unreadParts) > 0)
}

// unreadRetryDelay is the time between tries to read parts that could not be read: an
// outage of parts lasts for seconds.
const unreadRetryDelay = 400 * time.Millisecond

// readUnreadParts reads the parts that could not be read until it can, until ctx ends.
func (o *cellOwner) readUnreadParts(ctx context.Context) error {
	for {
		if err := sleep(ctx, unreadRetryDelay); err != nil {
			return nil
		}
		answers := make(chan []string, 1)
		o.enqueue(ctx, func(time.Time) { answers <- slices.Clone(o.unreadParts) })
		var parts []string
		select {
		case parts = <-answers:
		case <-ctx.Done():
			return nil
		}
		for _, part := range parts {
			c, err := o.site.settings.Store.List(ctx, o.jobTable, part, "", "")
			if err != nil {
				continue // it is tried again
			}
			o.enqueue(ctx, func(now time.Time) {
				o.unreadParts = slices.DeleteFunc(o.unreadParts, func(p string) bool { return p == part })
				o.log.WithField("part", part).WithField("rows", len(c.Rows)).WithField("unread", len(o.unreadParts)).Info("Jobs of a part are read.")
				o.applyJobRows(now, c.Rows)
				o.applyDeferred(now)
			})
		}
	}
}

// applyDeferred takes in what had to wait until all parts were read, if they are.
func (o *cellOwner) applyDeferred(now time.Time) {
	if len(o.unreadParts) > 0 {
		return
	}
	rows := o.deferredRows
	o.deferredRows = nil
	o.applyJobRows(now, rows)
	o.pendingProgress = map[string]works.Progress{}
	o.state.SetJobsIncomplete(now, false)
}
