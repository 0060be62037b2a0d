package site

import (
	"context"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
)

// updateHomes excludes homes that do not answer. If the main home does not answer,
// another home becomes the main home and all state is copied to it.
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

// startCopy makes the next writes contain all of the cell's state.
func (o *cellOwner) startCopy(now time.Time) {
	o.copying = true
	o.lease.BeginCopy()
	o.outcomesToCopy = o.outcomesToCopy[:0]
	for id := range o.unmarkedOutcomes {
		o.outcomesToCopy = append(o.outcomesToCopy, id)
	}
	o.state.RewriteAll(now)
}

// requeue makes the contents of a write that may have failed part of later writes.
func (o *cellOwner) requeue(now time.Time, w *homeWrite) {
	if w.batch != nil {
		o.state.FlushFailed(now, w.batch)
		w.batch = nil
	}
	o.outcomesToCopy = append(o.outcomesToCopy, w.outcomeIDs...)
	w.outcomeIDs = nil
}

// heldHomes returns the homes that the owner holds, or nil if ctx ends.
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

// reconcileRetryDelay is the delay before a failed read of a home is retried: outages
// of parts last for seconds.
const reconcileRetryDelay = 100 * time.Millisecond

// reconcileHome reads a home's ownership rows, with retries, and handles them. This
// is needed after a write that failed or was not answered, and for a home that is
// excluded. The condition on the renewal row prevents an earlier write from taking
// effect after the next one.
func (o *cellOwner) reconcileHome(home int, cause error) {
	o.group.Go("reconcile home", func(ctx context.Context) error {
		for ctx.Err() == nil {
			rows, err := o.site.settings.Store.List(ctx, cellTable, homePart(o.cell, home), renewalName, ownerName+"\x00")
			if err != nil {
				_ = sleep(ctx, reconcileRetryDelay) // the loop condition checks ctx
				continue
			}
			var renewalVersion, ownerVersion uint64
			var owner tenure.Owner
			for _, r := range rows.Rows {
				switch _, name := splitKey(r.Key()); name {
				case renewalName:
					renewalVersion = r.Version()
				case ownerName:
					ownerVersion = r.Version()
					if err := cbor.Unmarshal(r.Value(), &owner); err != nil {
						o.log.WithError(err).Error("Owner of the cell cannot be read.")
					}
				}
			}
			o.enqueue(ctx, func(now time.Time) { o.handleHomeRows(now, home, cause, owner, ownerVersion, renewalVersion) })
			return nil
		}
		return nil
	})
}

// handleHomeRows applies the ownership rows that were read from a home.
func (o *cellOwner) handleHomeRows(now time.Time, home int, cause error, owner tenure.Owner, ownerVersion, renewalVersion uint64) {
	_, before := o.lease.Versions(home)
	logger := o.log.WithField("home", home).WithField("owner", owner.Name).WithField("beat", before).WithField("beat_now", renewalVersion)
	if cause != nil {
		logger = logger.WithField("cause", cause.Error())
	}
	logger.Info("Home of the cell is read.")
	o.changed = true
	w := o.pendingWrites[home]
	delete(o.pendingWrites, home)
	if o.lease.Reconcile(home, owner == o.site.self, ownerVersion, renewalVersion) {
		o.lostReason = "entry " + owner.Name + " took home " + homePart(o.cell, home)
		return
	}
	if w != nil {
		o.requeue(now, w)
	}
}

// addUnreadParts records that parts could not be read, so that jobs may be missing.
// Changes are followed from the given version.
func (o *cellOwner) addUnreadParts(now time.Time, parts []string, version uint64) {
	for _, p := range parts {
		o.unreadParts[p] = version
	}
	o.state.SetJobsIncomplete(now, len(o.unreadParts) > 0)
}

// unreadRetryDelay is the delay before reads of unread parts are retried: an outage of
// parts lasts for seconds.
const unreadRetryDelay = 400 * time.Millisecond

// readUnreadParts retries the parts that could not be read, until ctx ends.
func (o *cellOwner) readUnreadParts(ctx context.Context) error {
	for {
		if err := sleep(ctx, unreadRetryDelay); err != nil {
			return nil
		}
		answers := make(chan []string, 1)
		o.enqueue(ctx, func(time.Time) { answers <- slices.Sorted(maps.Keys(o.unreadParts)) })
		var parts []string
		select {
		case parts = <-answers:
		case <-ctx.Done():
			return nil
		}
		g := group.New(ctx)
		for _, part := range parts {
			g.Go("read unread part", func(ctx context.Context) error {
				o.readUnreadPart(ctx, part)
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
}

// readUnreadPart reads the jobs of a part that could not be read before.
func (o *cellOwner) readUnreadPart(ctx context.Context, part string) {
	c, err := o.site.settings.Store.List(ctx, o.jobTable, part, "", "")
	if err != nil {
		return // retried in the next round
	}
	o.enqueue(ctx, func(now time.Time) { o.handlePart(now, part, c) })
}

// handlePart applies the contents of a part that could not be read before. They do not
// count if the changes since then are not followed: the table was listed again meanwhile.
func (o *cellOwner) handlePart(now time.Time, part string, c rock.Changes) {
	if c.Version < o.unreadParts[part] {
		return // the part is read again in the next round
	}
	delete(o.unreadParts, part)
	o.log.WithField("part", part).WithField("rows", len(c.Rows)).WithField("unread", len(o.unreadParts)).Info("Jobs of a part are read.")
	o.applyJobRows(now, c.Rows)
	o.applyDeferred(now)
}

// applyDeferred applies the rows that were deferred until all parts are read. It does
// nothing while a part is unread.
func (o *cellOwner) applyDeferred(now time.Time) {
	if len(o.unreadParts) > 0 {
		return
	}
	rows := o.deferredRows
	o.deferredRows = nil
	o.applyJobRows(now, rows)
	o.pendingProgress, o.pendingOutcomes = map[string]jobProgress{}, map[string]works.Outcome{}
	o.state.SetJobsIncomplete(now, false)
	if o.copying {
		o.startCopy(now) // the present copy lacks the jobs that were read after it began
	}
}
