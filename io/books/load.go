package books

import (
	"context"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// pageSize is the greatest number of changes read in one call.
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

// catchUp puts the configuration at revision head in force, or a newer one. It
// puts no intermediate configuration in force: after a restart, that could be
// older than the one which the previous process had in force.
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

// baseConfig returns the configuration to which the feed's later changes are
// applied: the newest snapshot if no configuration is known or if the one in force
// lags by more than twice [Settings.SnapshotEvery] changes, otherwise the one in
// force. An older snapshot than that is never used.
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

// readChanges returns up to limit changes after the revision from the platform's
// table.
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

// rebuild builds the configuration from the platform's snapshot and feed alone. It
// is called when the feed's changes cannot be applied to the configuration in
// force, for example because a peer provided a wrong one. The result is put in
// force only if it is newer. Cause is the error of the failed application.
func (b *Books) rebuild(ctx context.Context, head rock.Revision, cause error) error {
	b.settings.Log.WithError(cause).Error("The feed's changes cannot be applied to the configuration in force; rebuilding it from the platform.")
	config := b.feed.Empty()
	if base, err := b.readSnapshot(ctx, head); err == nil && base != nil {
		config = base
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
