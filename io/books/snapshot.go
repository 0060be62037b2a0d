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

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// encodeSnapshot returns the object for a configuration.
func encodeSnapshot(c *feed.Config) []byte {
	records := encode(c.All())
	return encode(snapshot{Revision: c.Revision(), Digest: digest(records), Records: records})
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
	ctx, cancel := b.call(ctx)
	defer cancel()
	rows, err := b.settings.Table.Read(ctx, snapshotKey)
	if err != nil {
		return nil, err
	}
	revision, err := readRevision(rows[0])
	if err != nil || revision == 0 || revision > head {
		return nil, nil //nolint:nilerr // The feed serves without a snapshot.
	}
	data, err := b.settings.Objects.Get(ctx, snapshotName(revision))
	if rock.ReasonOf(err) == rock.NotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	config, err := b.decodeSnapshot(revision, data)
	if err != nil {
		b.settings.Log.WithError(err).Error("A snapshot cannot be trusted. The feed is read instead.")
		return nil, nil
	}
	return config, nil
}
