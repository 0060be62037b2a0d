package drive

import (
	"slices"
	"time"
)

// tally is what was counted for one pool.
type tally struct {
	offered, refused, expired, failed, useful, collisions int
	// lostAfter counts idempotent requests that failed after the first 20
	// failures of hosts.
	lostAfter int
	failures  int
	work      time.Duration // of useful requests, within the window
	waits     []time.Duration
	offers    []int // by second
	starts    []int // by second
}

// p returns a quantile of the waits.
func (c *tally) p(q float64) time.Duration {
	if len(c.waits) == 0 {
		return 0
	}
	slices.Sort(c.waits)
	return c.waits[min(len(c.waits)-1, int(q*float64(len(c.waits))))]
}
