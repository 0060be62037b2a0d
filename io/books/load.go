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
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	rows, err := b.settings.Table.Read(ctx, headKey)
	if err != nil {
		return rock.Row{}, 0, err
	}
	head, err := readRevision(rows[0])
	if err == nil {
		b.recordHead(head)
	}
	return rows[0], head, err
}

// catchUp puts the configuration of the platform's revision head in force, or
// a newer one. Nothing older is put in force on the way, so that a new process
// does not begin with a configuration that an earlier one had left behind.
func (b *Books) catchUp(ctx context.Context, head rock.Revision) error {
	s := b.state.Load()
	if s.known && s.config.Revision() >= head {
		return nil
	}
	config, err := b.baseConfig(ctx, s, head)
	if err != nil {
		return err
	}
	var all []rock.Change
	for config.Revision() < head {
		changes, err := b.readChanges(ctx, config.Revision(), pageSize)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return rock.Fail("read", "feed", rock.Internal, rock.NotRun).
				Becausef("no change after revision %d, and head is at %d", config.Revision(), head)
		}
		if config, err = config.Apply(changes...); err != nil {
			return b.rebuild(ctx, head, err)
		}
		all = append(all, changes...)
		all = all[max(0, len(all)-maxRecent):]
	}
	b.putInForce(config, all)
	return nil
}

// baseConfig returns the configuration from which the feed is read on: the one in
// force, or the newest snapshot if nothing is known yet or many changes are
// missing.
func (b *Books) baseConfig(ctx context.Context, s *state, head rock.Revision) (*feed.Config, error) {
	if s.known && head-s.config.Revision() <= rock.Revision(2*b.settings.SnapshotEvery) {
		return s.config, nil
	}
	config, err := b.readSnapshot(ctx, head)
	if err != nil {
		return nil, err
	}
	if config == nil || config.Revision() < s.config.Revision() {
		return s.config, nil
	}
	return config, nil
}

// readChanges returns up to limit changes after the revision.
func (b *Books) readChanges(ctx context.Context, after rock.Revision, limit int) ([]rock.Change, error) {
	ctx, cancel := b.withCallTimeout(ctx)
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
