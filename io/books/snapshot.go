package books

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// snapshotKey is the row that names the newest snapshot.
const snapshotKey = "snapshot"

// snapshot is the object that holds all records at a revision. The digest is
// that of the bytes of the records.
type snapshot struct {
	Revision rock.Revision   `json:"revision"`
	Digest   string          `json:"digest"`
	Records  json.RawMessage `json:"records"`
}

// digest returns the digest of data as a snapshot states it.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// encodeSnapshot returns the object for a configuration.
func encodeSnapshot(c *feed.Config) []byte {
	records := mustEncode(c.All())
	return mustEncode(snapshot{Revision: c.Revision(), Digest: digest(records), Records: records})
}

// decodeSnapshot returns the configuration in the object, which must be of that
// revision and match its digest.
func (b *Books) decodeSnapshot(revision rock.Revision, data []byte) (*feed.Config, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if s.Revision != revision {
		return nil, fmt.Errorf("snapshot of revision %d holds revision %d", revision, s.Revision)
	}
	if digest(s.Records) != s.Digest {
		return nil, fmt.Errorf("snapshot of revision %d does not match its digest", revision)
	}
	var records []rock.Record
	if err := json.Unmarshal(s.Records, &records); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return b.feed.Build(revision, records)
}

// readSnapshot returns the newest snapshot that is not newer than head, or nil
// if there is none that can be trusted.
func (b *Books) readSnapshot(ctx context.Context, head rock.Revision) (*feed.Config, error) {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	for {
		revision, data, err := b.fetchNewestSnapshot(ctx, head)
		if err != nil || revision == 0 {
			return nil, err
		}
		if data == nil {
			// It was replaced by a newer one meanwhile.
			if next, err := b.newestSnapshot(ctx); err != nil || next == revision {
				return nil, err
			}
			continue
		}
		config, err := b.decodeSnapshot(revision, data)
		if err != nil {
			b.settings.Log.WithError(err).Error("A snapshot cannot be trusted. The feed is read instead.")
			return nil, nil
		}
		return config, nil
	}
}

// newestSnapshot returns the revision of the newest snapshot, or 0 if there is
// none.
func (b *Books) newestSnapshot(ctx context.Context) (rock.Revision, error) {
	rows, err := b.settings.Table.Read(ctx, snapshotKey)
	if err != nil {
		return 0, err
	}
	revision, err := readRevision(rows[0])
	if err != nil {
		b.settings.Log.WithError(err).Error("The row that names the newest snapshot is damaged.")
		return 0, nil
	}
	return revision, nil
}

// fetchNewestSnapshot returns the newest snapshot's revision, 0 if there is none that
// is not newer than head, and its object, nil if that does not exist.
func (b *Books) fetchNewestSnapshot(ctx context.Context, head rock.Revision) (rock.Revision, []byte, error) {
	revision, err := b.newestSnapshot(ctx)
	if err != nil || revision > head {
		return 0, nil, err
	}
	if revision == 0 {
		return 0, nil, nil
	}
	data, err := b.settings.Objects.Get(ctx, snapshotName(revision))
	if rock.ReasonOf(err) == rock.NotFound {
		return revision, nil, nil
	}
	return revision, data, err
}
