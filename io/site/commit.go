package site

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
)

// commit writes what is due, and renews the ownership, in one transaction.
func (o *owner) commit(now time.Time) {
	b := o.core.Flush(now)
	t, err := o.transaction(now, b)
	if err != nil {
		o.core.FlushFailed(now, b)
		o.lost = err.Error()
		return
	}
	o.committing, o.commitAt = true, now
	o.group.Go("commit", func(ctx context.Context) error {
		sent := o.site.now()
		version, err := o.site.settings.Store.Apply(ctx, t)
		o.site.heard(err)
		o.site.meters.commits.Inc(1)
		o.site.meters.commitTime.RecordDuration(o.site.now().Sub(sent))
		if err != nil {
			o.doubt(ctx, b, err)
			return nil
		}
		o.post(ctx, func(now time.Time) {
			o.committing, o.changed = false, true
			o.beatVersion = version
			o.actUntil = sent.Add(tenure.ActFor)
			o.core.Flushed(now, b)
			o.retire(b)
		})
		return nil
	})
}

// doubt finds out where the cell's rows stand after a write that failed or
// whose answer was lost. What it held is written again; the condition on the
// renewal row keeps the earlier write from taking effect after that.
func (o *owner) doubt(ctx context.Context, b *cell.Batch, cause error) {
	o.site.meters.conflicts.Inc(1)
	for ctx.Err() == nil {
		rows, err := o.site.settings.Store.List(ctx, cellTable, o.cell, beatName, ownerName+"\x00")
		o.site.heard(err)
		if err != nil {
			_ = pause(ctx, loadRetry) // the loop's condition sees the end
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
		o.post(ctx, func(now time.Time) {
			o.committing, o.changed = false, true
			if ownerVersion != o.ownerVersion {
				o.lost = fmt.Sprintf("entry %s took it at version %d", owner.Name, ownerVersion)
				return
			}
			o.log.WithField("cause", cause.Error()).WithField("beat", o.beatVersion).WithField("beat_now", beatVersion).Info("Write is made again.")
			o.beatVersion = beatVersion
			o.core.FlushFailed(now, b)
		})
		return
	}
}

// transaction returns the writes of the batch.
func (o *owner) transaction(now time.Time, b *cell.Batch) (rock.Transaction, error) {
	var t rock.Transaction
	t.Require(key(cellTable, o.cell, ownerName), o.ownerVersion)
	t.Require(key(cellTable, o.cell, beatName), o.beatVersion)
	l := o.core.Load(now)
	rest, surged := o.activity.Rest(now)
	value, err := encode(beat{
		Told: true, Waiting: l.Waiting, Work: l.Work, Cores: l.Cores, Want: l.Want, Keep: l.Keep, Spare: o.spare,
		RestMS: rest.Milliseconds(), Surged: surged,
	})
	if err != nil {
		return t, err
	}
	t.Put(key(cellTable, o.cell, beatName), value)
	for _, w := range b.Workers {
		value, err := encode(workerRow{o.tableTime(w.Until)})
		if err != nil {
			return t, err
		}
		t.Put(key(cellTable, o.cell, workerPrefix+w.ID), value)
	}
	for _, id := range b.OldWorkers {
		t.Delete(key(cellTable, o.cell, workerPrefix+id))
	}
	for i := range b.Writes {
		if err := o.write(&t, &b.Writes[i]); err != nil {
			return t, err
		}
	}
	return t, nil
}

// write adds the rows of one job.
func (o *owner) write(t *rock.Transaction, w *cell.Write) error {
	if !w.Ended {
		value, err := works.EncodeProgress(w.Progress)
		if err != nil {
			return err
		}
		t.Put(key(o.table, o.cell, w.ID+progressSuffix), value)
		return nil
	}
	value, err := works.EncodeOutcome(w.Outcome)
	if err != nil {
		return err
	}
	t.Put(key(o.table, o.cell, w.ID+outcomeSuffix), value)
	if w.HadProgress {
		t.Delete(key(o.table, o.cell, w.ID+progressSuffix))
	}
	return nil
}
