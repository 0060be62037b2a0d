package site

import (
	"context"
	"slices"
	"time"

	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
)

// tendHomes leaves out homes of the cell that do not answer, and makes another one
// the main home if that does not.
func (o *owner) tendHomes(now time.Time) {
	former := o.lease.Main()
	if o.lease.SwitchMain(now) {
		o.log.WithField("former", former).WithField("home", o.lease.Main()).Warn("Another home of the cell is written to.")
		if w := o.outstanding[former]; w != nil {
			o.takeBack(now, w)
		}
		o.copyAll(now)
	}
	for _, home := range o.lease.ExcludeUnresponsive(now) {
		o.log.WithField("home", home).Warn("Home of the cell is left out.")
	}
}

// copyAll makes the next writes hold all of the cell's state.
func (o *owner) copyAll(now time.Time) {
	o.copying = true
	o.lease.BeginCopy()
	o.copies = o.copies[:0]
	for id := range o.outcomes {
		o.copies = append(o.copies, id)
	}
	o.core.RewriteAll(now)
}

// takeBack notes that a write may not have been made, so that it is made again.
func (o *owner) takeBack(now time.Time, w *outstanding) {
	if w.batch != nil {
		o.core.FlushFailed(now, w.batch)
		w.batch = nil
	}
	o.copies = append(o.copies, w.copies...)
	w.copies = nil
}

// homesHeld returns the homes that the owner has taken.
func (o *owner) homesHeld(ctx context.Context) []int {
	answers := make(chan []int, 1)
	o.post(ctx, func(time.Time) { answers <- o.lease.HeldHomes() })
	select {
	case homes := <-answers:
		return homes
	case <-ctx.Done():
		return nil
	}
}

// findRetry is the time before a failed reading of a home is repeated: outages of
// parts last for seconds.
const findRetry = 100 * time.Millisecond

// find reads a home's rows until it can, and notes what they tell: after a write
// that failed or had no answer, or because the home is left out. The condition on the
// renewal row keeps an earlier write from taking effect after the next one.
func (o *owner) find(home int, cause error) {
	o.group.Go("find home", func(ctx context.Context) error {
		for ctx.Err() == nil {
			rows, err := o.site.settings.Store.List(ctx, cellTable, homePart(o.cell, home), beatName, ownerName+"\x00")
			if err != nil {
				_ = pause(ctx, findRetry) // the loop's condition sees the end
				continue
			}
			var beatVersion, ownerVersion uint64
			var owner tenure.Owner
			for _, r := range rows.Rows {
				switch _, name := splitKey(r.Key()); name {
				case beatName:
					beatVersion = r.Version()
				case ownerName:
					ownerVersion = r.Version()
					if err := cbor.Unmarshal(r.Value(), &owner); err != nil {
						o.log.WithError(err).Error("Owner of the cell cannot be read.")
					}
				}
			}
			o.post(ctx, func(now time.Time) { o.found(now, home, cause, owner, ownerVersion, beatVersion) })
			return nil
		}
		return nil
	})
}

// found takes in what a home's rows tell.
func (o *owner) found(now time.Time, home int, cause error, owner tenure.Owner, ownerVersion, beatVersion uint64) {
	_, before := o.lease.Versions(home)
	line := o.log.WithField("home", home).WithField("owner", owner.Name).WithField("beat", before).WithField("beat_now", beatVersion)
	if cause != nil {
		line = line.WithField("cause", cause.Error())
	}
	line.Info("Home of the cell is read.")
	o.changed = true
	w := o.outstanding[home]
	delete(o.outstanding, home)
	if o.lease.Reconcile(home, owner == o.site.me, ownerVersion, beatVersion) {
		o.lost = "entry " + owner.Name + " took home " + homePart(o.cell, home)
		return
	}
	if w != nil {
		o.takeBack(now, w)
	}
}

// miss notes that parts could not be read: jobs that they hold are not known.
func (o *owner) miss(now time.Time, parts []string) {
	for _, p := range parts {
		if !slices.Contains(o.unread, p) {
			o.unread = append(o.unread, p)
		}
	}
	o.core.SetJobsIncomplete(now, len(o.unread) > 0)
}

// missingRetry is the time between tries to read parts that could not be read: an
// outage of parts lasts for seconds.
const missingRetry = 400 * time.Millisecond

// readMissing reads the parts that could not be read until it can, until ctx ends.
func (o *owner) readMissing(ctx context.Context) error {
	for {
		if err := pause(ctx, missingRetry); err != nil {
			return nil
		}
		answers := make(chan []string, 1)
		o.post(ctx, func(time.Time) { answers <- slices.Clone(o.unread) })
		var parts []string
		select {
		case parts = <-answers:
		case <-ctx.Done():
			return nil
		}
		for _, part := range parts {
			c, err := o.site.settings.Store.List(ctx, o.table, part, "", "")
			if err != nil {
				continue // it is tried again
			}
			o.post(ctx, func(now time.Time) {
				o.unread = slices.DeleteFunc(o.unread, func(p string) bool { return p == part })
				o.log.WithField("part", part).WithField("rows", len(c.Rows)).WithField("unread", len(o.unread)).Info("Jobs of a part are read.")
				o.takeJobs(now, c.Rows)
				o.complete(now)
			})
		}
	}
}

// complete takes in what had to wait until all parts were read, if they are.
func (o *owner) complete(now time.Time) {
	if len(o.unread) > 0 {
		return
	}
	rows := o.waiting
	o.waiting = nil
	o.takeJobs(now, rows)
	o.progress = map[string]works.Progress{}
	o.core.SetJobsIncomplete(now, false)
}
