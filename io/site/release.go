package site

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"
)

// releaseTimeout bounds the writes that release a cell.
const releaseTimeout = 1500 * time.Millisecond

// release stores all pending changes and gives up the ownership in all homes, so that
// another entry can acquire the cell at once.
func (o *cellOwner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	main := o.lease.Main()
	for o.pendingWrites[main] == nil && ctx.Err() == nil {
		now := o.site.now()
		o.state.PrepareRelease(now)
		b := o.state.Flush(now)
		t, err := o.homeTransaction(now, main, b, nil)
		if err != nil {
			o.log.WithError(err).Error("Last writes before the release cannot be encoded.")
			return
		}
		version, err := o.site.settings.Store.Apply(ctx, t)
		if err != nil {
			o.log.WithError(err).Warn("Last writes before the release failed.")
			return
		}
		o.lease.CompleteWrite(main, version)
		o.state.Flushed(now, b)
		if len(b.JobWrites) == 0 {
			break
		}
	}
	value, err := encode(tenure.Owner{})
	if err != nil {
		o.log.WithError(err).Error("Owner row cannot be encoded.")
		return
	}
	g := group.New(ctx)
	for _, home := range o.lease.HeldHomes() {
		ownerVersion, _ := o.lease.Versions(home)
		g.Go("release home", func(ctx context.Context) error {
			part := homePart(o.cell, home)
			var t rock.Transaction
			t.Require(key(cellTable, part, ownerName), ownerVersion)
			t.Put(key(cellTable, part, ownerName), value)
			_, err := o.site.settings.Store.Apply(ctx, t)
			return err
		})
	}
	o.log.WithField("error", fmt.Sprint(g.Wait())).Info("Cell released.")
}
