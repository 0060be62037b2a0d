package site

import (
	"context"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
)

// outstanding is a write to a home whose outcome is not known.
type outstanding struct {
	// batch is nil if the write only renews the ownership.
	batch *cell.Batch
	// copies holds the jobs whose outcomes are written again.
	copies []string
	// last is true if all state is written to the home with this write.
	last bool
}

// maxCopies bounds the outcomes that are written again in a transaction, below the
// platform's 100 rows.
const maxCopies = 80

// commit renews the ownership in a home. In the main home it also writes what is
// due.
func (o *owner) commit(now time.Time, home int) {
	w := &outstanding{}
	if home == o.lease.Main() {
		if n := min(len(o.copies), maxCopies); n > 0 {
			w.copies, o.copies = o.copies[:n:n], o.copies[n:]
		} else {
			w.batch = o.core.Flush(now)
			w.last = o.copying && w.batch.Complete()
		}
	}
	t, err := o.transaction(now, home, w.batch, w.copies)
	if err != nil {
		o.takeBack(now, w)
		o.lost = err.Error()
		return
	}
	o.outstanding[home] = w
	o.group.Go("commit", func(ctx context.Context) error {
		sent := o.site.now()
		version, err := o.site.settings.Store.Apply(ctx, t)
		o.site.heardPart(homePart(o.cell, home), err)
		o.site.meters.commits.Inc(1)
		o.site.meters.commitTime.RecordDuration(o.site.now().Sub(sent))
		if err != nil {
			o.site.meters.conflicts.Inc(1)
			o.find(home, err)
			return nil
		}
		o.post(ctx, func(now time.Time) { o.stored(now, home, version) })
		return nil
	})
}

// stored takes in that the write to a home was made.
func (o *owner) stored(now time.Time, home int, version uint64) {
	w := o.outstanding[home]
	delete(o.outstanding, home)
	o.changed = true
	if slices.Contains(o.lease.ExcludedHomes(), home) {
		o.find(home, nil) // it was left out meanwhile, and may join again
	}
	o.lease.CompleteWrite(home, version)
	if w.batch == nil {
		return
	}
	o.core.Flushed(now, w.batch)
	o.retire(w.batch)
	if w.last && o.copying && len(o.copies) == 0 && home == o.lease.Main() {
		o.copying = false
		o.lease.CompleteCopy()
		o.log.WithField("home", home).Info("All state is in the main home of the cell.")
	}
}

// transaction returns the writes of the batch, or of outcomes, to a home.
func (o *owner) transaction(now time.Time, home int, b *cell.Batch, outcomes []string) (rock.Transaction, error) {
	var t rock.Transaction
	part := homePart(o.cell, home)
	ownerVersion, beatVersion := o.lease.Versions(home)
	t.Require(key(cellTable, part, ownerName), ownerVersion)
	t.Require(key(cellTable, part, beatName), beatVersion)
	if o.lease.IsJoining(home) {
		value, err := encode(o.site.me)
		if err != nil {
			return t, err
		}
		t.Put(key(cellTable, part, ownerName), value)
	}
	record := o.lease.BeginWrite(now, home)
	value, err := encode(o.beat(now, record))
	if err != nil {
		return t, err
	}
	t.Put(key(cellTable, part, beatName), value)
	if o.copying && home == o.lease.Main() && o.ordered != nil {
		t.Put(key(orderTable, part, orderName), o.ordered)
	}
	for _, id := range outcomes {
		outcome, ok := o.outcomes[id]
		if !ok {
			continue // its rows were marked meanwhile
		}
		value, err := works.EncodeOutcome(outcome)
		if err != nil {
			return t, err
		}
		t.Put(key(o.table, part, id+outcomeSuffix), value)
	}
	if b == nil {
		return t, nil
	}
	stamp := works.Stamp{Fence: record.Fence, Seq: record.Seq}
	for _, w := range b.Workers {
		value, err := encode(workerRow{UntilMS: o.tableTime(w.LeaseEnd), Stamp: stamp})
		if err != nil {
			return t, err
		}
		t.Put(key(cellTable, part, workerPrefix+w.ID), value)
	}
	for _, id := range b.DeletedWorkers {
		t.Delete(key(cellTable, part, workerPrefix+id))
	}
	for i := range b.JobWrites {
		if err := o.write(&t, part, &b.JobWrites[i], stamp); err != nil {
			return t, err
		}
	}
	return t, nil
}

// beat returns the renewal with that record.
func (o *owner) beat(now time.Time, r tenure.Record) beat {
	l := o.core.Load(now)
	rest, surged := o.activity.SinceSurge(now)
	return beat{
		Told: true, Waiting: l.WaitingJobs, Work: l.RemainingWork, Cores: l.Cores, Want: l.RequiredCores, Keep: l.RetainedCores, Spare: o.spare,
		RestMS: rest.Milliseconds(), Surged: surged, Record: r,
	}
}

// write adds the rows of one job.
func (o *owner) write(t *rock.Transaction, part string, w *cell.Write, stamp works.Stamp) error {
	if !w.Ended {
		w.Progress.Stamp = stamp
		value, err := works.EncodeProgress(w.Progress)
		if err != nil {
			return err
		}
		t.Put(key(o.table, part, w.ID+progressSuffix), value)
		return nil
	}
	value, err := works.EncodeOutcome(w.Outcome)
	if err != nil {
		return err
	}
	t.Put(key(o.table, part, w.ID+outcomeSuffix), value)
	if w.HasProgressRow {
		t.Delete(key(o.table, part, w.ID+progressSuffix))
	}
	return nil
}
