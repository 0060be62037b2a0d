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

// snapshotKey is the key of the row that holds the newest snapshot's revision.
const snapshotKey = "snapshot"

// snapshot is the content of an object that holds all records at a revision.
// Digest is the digest of the bytes of Records.
type snapshot struct {
	Revision rock.Revision   `json:"revision"`
	Digest   string          `json:"digest"`
	Records  json.RawMessage `json:"records"`
}

// digest returns the SHA-256 of data in the form "sha256:HEX".
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// encodeSnapshot returns the content of the snapshot object for a configuration.
func encodeSnapshot(c *feed.Config) []byte {
	records := mustEncode(c.All())
	return mustEncode(snapshot{Revision: c.Revision(), Digest: digest(records), Records: records})
}

// decodeSnapshot returns the configuration in a snapshot object. It returns an
// error if the object is not at the given revision or does not match its digest.
func (b *Books) decodeSnapshot(revision rock.Revision, data []byte) (*feed.Config, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if s.Revision != revision {
		return nil, fmt.Errorf("object of snapshot %d holds revision %d", revision, s.Revision)
	}
	if digest(s.Records) != s.Digest {
		return nil, fmt.Errorf("records of snapshot %d do not match its digest %q", revision, s.Digest)
	}
	var records []rock.Record
	if err := json.Unmarshal(s.Records, &records); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return b.feed.Build(revision, records)
}

// readSnapshot returns the configuration of the newest snapshot. It returns nil if
// there is no snapshot, or if the newest one is later than head or not valid.
func (b *Books) readSnapshot(ctx context.Context, head rock.Revision) (*feed.Config, error) {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	for {
		revision, data, err := b.fetchNewestSnapshot(ctx, head)
		if err != nil || revision == 0 {
			return nil, err
		}
		if data == nil {
			// A newer snapshot may have replaced it since the row was read.
			if next, err := b.newestSnapshot(ctx); err != nil || next == revision {
				return nil, err
			}
			continue
		}
		config, err := b.decodeSnapshot(revision, data)
		if err != nil {
			b.settings.Log.WithError(err).Error("The newest snapshot is not valid; reading the whole feed instead.")
			return nil, nil
		}
		return config, nil
	}
}

// newestSnapshot returns the revision of the newest snapshot, or 0 if there is
// none or its row cannot be decoded.
func (b *Books) newestSnapshot(ctx context.Context) (rock.Revision, error) {
	rows, err := b.settings.Table.Read(ctx, snapshotKey)
	if err != nil {
		return 0, err
	}
	revision, err := readRevision(rows[0])
	if err != nil {
		b.settings.Log.WithError(err).Error("The row of the newest snapshot cannot be decoded.")
		return 0, nil
	}
	return revision, nil
}

// fetchNewestSnapshot returns the revision of the newest snapshot and the content
// of its object. The revision is 0 if there is no snapshot or it is later than
// head. The content is nil if the object does not exist.
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
