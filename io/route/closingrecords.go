package route

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// closingCacheTime is how long the result of a read is reused, also if no
// record was found.
const closingCacheTime = time.Second

// closingRecords reads the closing records of stopped entries, which list the
// idempotency keys that were claimed there. It reads each record at most once a
// second. It is safe for concurrent use.
type closingRecords struct {
	objects rock.ObjectStore

	mu    sync.Mutex
	cache map[string]cachedClosing
}

// newClosingRecords returns a reader of the closing records in an object store.
// If objects is nil, there are no records.
func newClosingRecords(objects rock.ObjectStore) *closingRecords {
	return &closingRecords{objects: objects, cache: map[string]cachedClosing{}}
}

// closingObjectName returns the name of the object with an entry's closing
// record.
func closingObjectName(entry string) string { return "claims/" + entry }

// provesNotRun reports whether the closing record of the key's issuer proves
// that no request with the key has run.
func (c *closingRecords) provesNotRun(ctx context.Context, now time.Time, r rock.Request, key claim.Key) bool {
	if c.objects == nil {
		return false
	}
	return c.get(ctx, now, key.Issuer()).ProvesNotRun(key, r.IdempotencyKey())
}

// get returns the closing record of an entry. The record is empty if it is
// missing or cannot be read.
func (c *closingRecords) get(ctx context.Context, now time.Time, entry string) claim.ClosingRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.cache[entry]; ok && now.Sub(got.readAt) < closingCacheTime {
		return got.record
	}
	var closing claim.ClosingRecord
	data, err := c.objects.Get(ctx, closingObjectName(entry))
	if err != nil || json.Unmarshal(data, &closing) != nil {
		closing = claim.ClosingRecord{}
	}
	c.cache[entry] = cachedClosing{readAt: now, record: closing}
	return closing
}
