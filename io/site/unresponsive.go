package site

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// unresponsivePeriod is how long a part that did not answer is tried after all others.
// Outages of parts last for seconds.
const unresponsivePeriod = 1500 * time.Millisecond

// unresponsiveParts records the parts of the table that did not answer recently. The
// zero value is ready to use. It is safe for concurrent use.
type unresponsiveParts struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// record records whether a call about a part was answered.
func (s *unresponsiveParts) record(now time.Time, part string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.until, part)
		return
	}
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[part] = now.Add(unresponsivePeriod)
}

// sort returns the parts in the order in which they should be tried: first the
// responsive ones in the given order, then the others, the one that failed longest ago
// first.
func (s *unresponsiveParts) sort(now time.Time, parts []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.until, func(_ string, t time.Time) bool { return !now.Before(t) })
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b string) int { return s.until[a].Compare(s.until[b]) })
	return sorted
}
