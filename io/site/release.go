package site

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"
)

// releaseTimeout bounds the writes with which a cell is given up.
const releaseTimeout = 1500 * time.Millisecond

// release gives the cell up, so that another entry takes it at once.
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
			o.log.WithError(err).Error("Last writes cannot be encoded.")
			return
		}
		version, err := o.site.settings.Store.Apply(ctx, t)
		if err != nil {
			o.log.WithError(err).Warn("Last writes failed.")
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
		o.log.WithError(err).Error("Owner cannot be encoded.")
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
