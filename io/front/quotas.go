package front

import (
	"sync"

	rock "bramleyrock"
)

// quotas counts the requests in flight of each organisation.
type quotas struct {
	mu     sync.Mutex
	counts map[string]int
}

// acquire counts a request in, or refuses it if the limit is reached. A limit of
// zero means none.
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

// release counts a request out.
func (q *quotas) release(organisation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.counts[organisation]--; q.counts[organisation] == 0 {
		delete(q.counts, organisation)
	}
}
