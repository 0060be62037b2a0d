package books

import (
	"context"

	rock "bramleyrock"
)

// Compact writes a snapshot and returns its revision. It writes none and returns
// 0 if the configuration in force is not confirmed, or if fewer than
// [Settings.SnapshotEvery] changes were made since the newest snapshot. The guard,
// such as a condition on the fencing token of a lease, is part of the transaction
// that makes the new snapshot the newest one.
func (b *Books) Compact(ctx context.Context, guard rock.Transaction) (rock.Revision, error) {
	if !b.Confirmed() {
		return 0, nil
	}
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	rows, err := b.settings.Table.Read(ctx, snapshotKey)
	if err != nil {
		return 0, err
	}
	old, err := readRevision(rows[0])
	if err != nil {
		return 0, err
	}
	config := b.Config()
	if config.Revision() < old+rock.Revision(b.settings.SnapshotEvery) {
		return 0, nil
	}
	if err := b.settings.Objects.Put(ctx, snapshotName(config.Revision()), encodeSnapshot(config)); err != nil {
		return 0, err
	}
	guard.Require(snapshotKey, rows[0].Version())
	guard.Put(snapshotKey, mustEncode(revisionRow{config.Revision()}))
	if err := b.settings.Table.Commit(ctx, guard); err != nil {
		return 0, err
	}
	if old > 0 {
		return config.Revision(), b.settings.Objects.Remove(ctx, snapshotName(old))
	}
	return config.Revision(), nil
}
