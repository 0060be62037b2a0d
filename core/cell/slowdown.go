package cell

import "time"

// slowdown is the moving average of the ratios between actual and expected run
// times on a worker. The zero value is an average without samples.
type slowdown struct {
	factor float64
	at     time.Time
}

const (
	// slowdownWeight is the weight of a new sample, which makes the average cover
	// about the last five runs.
	slowdownWeight = 0.2
	// slowdownMaxAge is the age of the last sample from which the average is
	// discarded. Workers are slow for about that long at a time.
	slowdownMaxAge = 8 * time.Second
)

// record adds the ratio of a run's actual to its expected run time.
func (s *slowdown) record(now time.Time, ratio float64) {
	ratio = min(ratio, 10)
	if s.factor == 0 || now.Sub(s.at) > slowdownMaxAge {
		s.factor = 1
	}
	s.factor += slowdownWeight * (ratio - s.factor)
	s.at = now
}

// value returns the average, or 1 without recent samples.
func (s *slowdown) value(now time.Time) float64 {
	if s.factor == 0 || now.Sub(s.at) > slowdownMaxAge {
		return 1
	}
	return s.factor
}
