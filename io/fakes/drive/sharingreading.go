package drive

import "time"

// Sharing is what runs with several entries on the same hosts showed.
type Sharing struct {
	way   string
	tally tally
}

// Way returns the way of sharing hosts.
func (s Sharing) Way() string { return s.way }

// Wait returns a quantile, from 0 to 1, of the time until a host was granted.
func (s Sharing) Wait(quantile float64) time.Duration { return s.tally.p(quantile) }

// Refusals returns how many tasks of 1,000 requests met a host without a free
// slot.
func (s Sharing) Refusals() float64 {
	return 1000 * float64(s.tally.collisions) / float64(s.tally.offered)
}

// Lost returns how many of 1,000 requests were not answered in time.
func (s Sharing) Lost() float64 {
	return 1000 * (1 - float64(s.tally.useful)/float64(s.tally.offered))
}
