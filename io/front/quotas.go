package front

import (
	"sync"

	rock "bramleyrock"
)

// quotas counts the requests in flight of each organisation at this entry. It is
// safe for concurrent use.
type quotas struct {
	mu     sync.Mutex
	counts map[string]int
}

// acquire counts a request as in flight, or refuses it if the organisation has
// limit requests in flight already. A limit of zero means no limit.
func (q *quotas) acquire(organisation string, limit int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := q.counts[organisation]; limit > 0 && n >= limit {
		return rock.Fail("admit", "organisation "+organisation, rock.QuotaExceeded, rock.NotRun).
			RetryIn(quotaRetryDelay).Becausef("%d requests are in flight at this entry, its quota is %d", n, limit)
	}
	q.counts[organisation]++
	return nil
}

// release ends the count of a request that acquire accepted.
func (q *quotas) release(organisation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.counts[organisation]--; q.counts[organisation] == 0 {
		delete(q.counts, organisation)
	}
}
