package cell

import "time"

// slowdown is how fast a worker's runs are beside their expectation: 1 is as
// expected, 2 takes twice as long. The zero value knows nothing.
type slowdown struct {
	factor float64
	at     time.Time
}

const (
	// slowdownWeight is the weight of a new reading: about the last five runs
	// count.
	slowdownWeight = 0.2
	// slowdownMaxAge is how long a reading counts, the length of a slow spell.
	slowdownMaxAge = 8 * time.Second
)

// record adds the ratio of a run's duration to its expectation.
func (p *slowdown) record(now time.Time, ratio float64) {
	ratio = min(ratio, 10)
	if p.factor == 0 || now.Sub(p.at) > slowdownMaxAge {
		p.factor = 1
	}
	p.factor += slowdownWeight * (ratio - p.factor)
	p.at = now
}

// value returns the factor, 1 if nothing recent is known.
func (p *slowdown) value(now time.Time) float64 {
	if p.factor == 0 || now.Sub(p.at) > slowdownMaxAge {
		return 1
	}
	return p.factor
}
