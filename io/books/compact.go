package books

import (
	"context"
	"time"

	rock "bramleyrock"
)

// Permit says whether this entry may do a duty that has one owner.
type Permit interface {
	// Permitted returns true if the duty is held at that time, and conditions
	// that a transaction under the duty must carry.
	Permitted(now time.Time) (rock.Transaction, bool)
}

// Compact writes snapshots while the permit allows it, until ctx ends. A nil
// permit always allows it.
func (b *Books) Compact(ctx context.Context, p Permit) error {
	for {
		if err := pause(ctx, b.jitter(b.settings.Poll*10)); err != nil {
			return err
		}
		if _, err := b.CompactOnce(ctx, b.settings.Now(), p); err != nil {
			b.settings.Log.WithError(err).Warn("No snapshot was written.")
		}
	}
}

// CompactOnce writes a snapshot if one is worth its while, and returns its
// revision, or 0 if none was written.
func (b *Books) CompactOnce(ctx context.Context, now time.Time, p Permit) (rock.Revision, error) {
	var t rock.Transaction
	if p != nil {
		guard, ok := p.Permitted(now)
		if !ok {
			return 0, nil
		}
		t = guard
	}
	if !b.Confirmed() {
		return 0, nil
	}
	ctx, cancel := b.call(ctx)
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
	t.Require(snapshotKey, rows[0].Version())
	t.Put(snapshotKey, encode(revisionRow{config.Revision()}))
	if err := b.settings.Table.Commit(ctx, t); err != nil {
		return 0, err
	}
	if old > 0 {
		return config.Revision(), b.settings.Objects.Remove(ctx, snapshotName(old))
	}
	return config.Revision(), nil
}
