package site

import (
	"context"
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
)

// homeWrite is a write to a home whose outcome is not known yet.
type homeWrite struct {
	// batch is nil if the write only renews the ownership or copies outcomes.
	batch *cell.Batch
	// outcomeIDs holds the ids of the jobs whose outcomes are copied.
	outcomeIDs []string
	// completesCopy is true if the home holds all state once the write is done.
	completesCopy bool
}

// maxCopiedOutcomes bounds the outcomes that are copied in one transaction, below the
// platform's limit of 100 rows.
const maxCopiedOutcomes = 80

// commit renews the ownership in a home. In the main home it also writes pending
// changes.
func (o *cellOwner) commit(now time.Time, home int) {
	w := &homeWrite{}
	if home == o.lease.Main() && o.state != nil {
		if n := min(len(o.outcomesToCopy), maxCopiedOutcomes); n > 0 {
			w.outcomeIDs, o.outcomesToCopy = o.outcomesToCopy[:n:n], o.outcomesToCopy[n:]
		} else {
			w.batch = o.state.Flush(now)
			w.completesCopy = o.copying && w.batch.Complete() && len(o.unreadParts) == 0
		}
	}
	t, err := o.homeTransaction(now, home, w.batch, w.outcomeIDs)
	if err != nil {
		o.requeue(now, w)
		o.lostReason = err.Error()
		return
	}
	o.pendingWrites[home] = w
	o.group.Go("commit", func(ctx context.Context) error {
		sent := o.site.now()
		version, err := o.site.settings.Store.Apply(ctx, t)
		o.site.recordPartAnswer(homePart(o.cell, home), err)
		o.site.meters.commits.Inc(1)
		o.site.meters.commitTime.RecordDuration(o.site.now().Sub(sent))
		if err != nil {
			o.site.meters.conflicts.Inc(1)
			o.reconcileHome(home, err)
			return nil
		}
		o.enqueue(ctx, func(now time.Time) { o.handleStored(now, home, version) })
		return nil
	})
}

// handleStored handles a successful write to a home.
func (o *cellOwner) handleStored(now time.Time, home int, version uint64) {
	w := o.pendingWrites[home]
	delete(o.pendingWrites, home)
	o.changed = true
	if slices.Contains(o.lease.ExcludedHomes(), home) {
		o.reconcileHome(home, nil) // the home was excluded meanwhile and may join again
	}
	o.lease.CompleteWrite(home, version)
	if w.batch == nil {
		return
	}
	o.state.Flushed(now, w.batch)
	o.addEndedJobs(w.batch)
	if w.completesCopy && o.copying && len(o.outcomesToCopy) == 0 && home == o.lease.Main() {
		o.copying = false
		o.lease.CompleteCopy()
		o.log.WithField("home", home).Info("All state is in the main home of the cell.")
	}
}

// homeTransaction returns the transaction that renews the ownership in a home and
// writes a batch, which may be nil, and copies of outcomes.
func (o *cellOwner) homeTransaction(now time.Time, home int, b *cell.Batch, outcomes []string) (rock.Transaction, error) {
	var t rock.Transaction
	part := homePart(o.cell, home)
	ownerVersion, renewalVersion := o.lease.Versions(home)
	t.Require(key(cellTable, part, ownerName), ownerVersion)
	t.Require(key(cellTable, part, renewalName), renewalVersion)
	if o.lease.IsJoining(home) {
		value, err := encode(o.site.self)
		if err != nil {
			return t, err
		}
		t.Put(key(cellTable, part, ownerName), value)
	}
	record := o.lease.BeginWrite(now, home)
	value, err := encodeRenewal(o.newRenewal(now, record), o.site.settings.maxRowBytes())
	if err != nil {
		return t, err
	}
	t.Put(key(cellTable, part, renewalName), value)
	if o.copying && home == o.lease.Main() && o.announcedOrders != nil {
		t.Put(key(orderTable, part, orderName), o.announcedOrders)
	}
	for _, id := range outcomes {
		outcome, ok := o.unmarkedOutcomes[id]
		if !ok {
			continue // the rows of the job have been marked meanwhile, so its outcome need not be copied
		}
		value, err := works.EncodeOutcome(outcome)
		if err != nil {
			return t, err
		}
		t.Put(key(o.jobTable, part, id+outcomeSuffix), value)
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
		if err := o.addJobRows(&t, part, &b.JobWrites[i], stamp); err != nil {
			return t, err
		}
	}
	return t, nil
}

// newRenewal returns a renewal that contains the record and the cell's load.
func (o *cellOwner) newRenewal(now time.Time, r tenure.Record) renewal {
	if o.state == nil {
		return renewal{Record: r} // the cell is being read
	}
	l := o.currentLoad(now)
	sinceSurge, surged := o.activity.SinceSurge(now)
	return renewal{
		HasLoad: true, WaitingJobs: l.WaitingJobs, RemainingWork: l.RemainingWork, Cores: l.Cores,
		RequiredCores: l.RequiredCores, RetainedCores: l.RetainedCores, MinHosts: l.MinHosts, SpareHosts: o.spareHosts, HeldBytes: l.HeldBytes,
		SinceSurgeMS: sinceSurge.Milliseconds(), SurgeKnown: surged, Record: r,
	}
}

// addJobRows adds the writes for one job to a transaction.
func (o *cellOwner) addJobRows(t *rock.Transaction, part string, w *cell.Write, stamp works.Stamp) error {
	if !w.Ended {
		w.Progress.Stamp = stamp
		value, reduced, err := works.EncodeProgress(w.Progress, o.site.settings.maxRowBytes())
		if err != nil {
			return fmt.Errorf("job %s: %w", w.ID, err)
		}
		if reduced {
			o.log.WithField("job", w.ID).WithField("chunk", w.Chunk).WithField("bytes", len(value)).Warn("Progress is stored in part, it exceeds the row size.")
		}
		t.Put(key(o.jobTable, part, progressName(w.ID, w.Chunk)), value)
		return nil
	}
	value, err := works.EncodeOutcome(w.Outcome)
	if err != nil {
		return err
	}
	t.Put(key(o.jobTable, part, w.ID+outcomeSuffix), value)
	for _, chunk := range w.ProgressChunks {
		t.Delete(key(o.jobTable, part, progressName(w.ID, chunk)))
	}
	return nil
}
