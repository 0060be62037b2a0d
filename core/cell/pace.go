package cell

import "time"

// pace is how fast a worker's runs are beside their expectation: 1 is as
// expected, 2 takes twice as long. The zero value knows nothing.
type pace struct {
	factor float64
	at     time.Time
}

const (
	// paceWeight is the weight of a new reading: about the last five runs
	// count.
	paceWeight = 0.2
	// paceMemory is how long a reading counts, the length of a slow spell.
	paceMemory = 8 * time.Second
)

// note adds the ratio of a run's duration to its expectation.
func (p *pace) note(now time.Time, ratio float64) {
	ratio = min(ratio, 10)
	if p.factor == 0 || now.Sub(p.at) > paceMemory {
		p.factor = 1
	}
	p.factor += paceWeight * (ratio - p.factor)
	p.at = now
}

// value returns the factor, 1 if nothing recent is known.
func (p *pace) value(now time.Time) float64 {
	if p.factor == 0 || now.Sub(p.at) > paceMemory {
		return 1
	}
	return p.factor
}
