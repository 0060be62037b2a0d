package books

import (
	"context"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// pageSize is the number of changes read at once.
const pageSize = 500

// readHead returns the row head and its revision.
func (b *Books) readHead(ctx context.Context) (rock.Row, rock.Revision, error) {
	ctx, cancel := b.call(ctx)
	defer cancel()
	rows, err := b.settings.Table.Read(ctx, headKey)
	if err != nil {
		return rock.Row{}, 0, err
	}
	head, err := readRevision(rows[0])
	if err == nil {
		b.sawHead(head)
	}
	return rows[0], head, err
}

// catchUp puts the configuration of the platform's revision head in force, or
// a newer one.
func (b *Books) catchUp(ctx context.Context, head rock.Revision) error {
	if s := b.state.Load(); s.known && s.config.Revision() >= head {
		return nil
	}
	if err := b.loadSnapshot(ctx, head); err != nil {
		return err
	}
	for {
		config := b.Config()
		if config.Revision() >= head {
			b.putInForce(config, nil)
			return nil
		}
		changes, err := b.readChanges(ctx, config.Revision(), pageSize)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return rock.Fail("read", "feed", rock.Internal, rock.NotRun).
				Becausef("no change after revision %d, and head is at %d", config.Revision(), head)
		}
		next, err := config.Apply(changes...)
		if err != nil {
			return b.rebuild(ctx, head, err)
		}
		b.putInForce(next, changes)
	}
}

// readChanges returns up to limit changes after the revision.
func (b *Books) readChanges(ctx context.Context, after rock.Revision, limit int) ([]rock.Change, error) {
	ctx, cancel := b.call(ctx)
	defer cancel()
	rows, err := b.settings.Table.Scan(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]rock.Change, 0, len(rows))
	for _, r := range rows {
		c, err := readChange(r)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// rebuild replaces a configuration that the feed does not fit, which a peer
// may have given, by one made of the platform's records alone. It is put in
// force only if it is newer.
func (b *Books) rebuild(ctx context.Context, head rock.Revision, cause error) error {
	b.settings.Log.WithError(cause).Error("The feed does not fit the configuration in force. It is read from its beginning.")
	config := b.feed.Empty()
	if start, err := b.readSnapshot(ctx, head); err == nil && start != nil {
		config = start
	}
	for config.Revision() < head {
		changes, err := b.readChanges(ctx, config.Revision(), pageSize)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return cause
		}
		if config, err = config.Apply(changes...); err != nil {
			return rock.Fail("read", "feed", rock.Internal, rock.NotRun).Because(err)
		}
	}
	b.putInForce(config, nil)
	return nil
}

// loadSnapshot puts the newest snapshot in force if nothing is known yet, or
// if many changes are missing. Without one, the feed is read instead.
func (b *Books) loadSnapshot(ctx context.Context, head rock.Revision) error {
	s := b.state.Load()
	if s.known && head-s.config.Revision() <= rock.Revision(2*b.settings.SnapshotEvery) {
		return nil
	}
	config, err := b.readSnapshot(ctx, head)
	if err != nil {
		return err
	}
	if config != nil && b.newer(config) {
		b.putInForce(config, nil)
	}
	return nil
}

// newer reports whether config is newer than the configuration in force.
func (b *Books) newer(config *feed.Config) bool {
	s := b.state.Load()
	return !s.known || config.Revision() > s.config.Revision()
}
