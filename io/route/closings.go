package route

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
)

// closingAge is how long a statement that was read, or found missing, is
// taken as it is.
const closingAge = time.Second

// closings reads the statements of homes that have ended, each at most once a
// second. It is safe for concurrent use.
type closings struct {
	objects rock.ObjectStore

	mu   sync.Mutex
	read map[string]closingRead
}

// newClosings returns the statements kept in objects; nil means none.
func newClosings(objects rock.ObjectStore) *closings {
	return &closings{objects: objects, read: map[string]closingRead{}}
}

// closingName returns the name of the object with the statement of an entry.
func closingName(entry string) string { return "claims/" + entry }

// rule reports whether the home of the key stated that no send of it ran.
func (c *closings) rule(ctx context.Context, now time.Time, r rock.Request, key claim.Key) bool {
	if c.objects == nil {
		return false
	}
	return c.get(ctx, now, key.Issuer()).ProvesNotRun(key, r.IdempotencyKey())
}

// get returns the statement of an entry; a missing one is empty.
func (c *closings) get(ctx context.Context, now time.Time, entry string) claim.ClosingRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.read[entry]; ok && now.Sub(got.at) < closingAge {
		return got.closing
	}
	var closing claim.ClosingRecord
	data, err := c.objects.Get(ctx, closingName(entry))
	if err != nil || json.Unmarshal(data, &closing) != nil {
		closing = claim.ClosingRecord{}
	}
	c.read[entry] = closingRead{at: now, closing: closing}
	return closing
}
