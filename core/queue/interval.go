package queue

import "time"

const (
	// minIntervalWeight is the least weight of one interval in the mean.
	minIntervalWeight = 0.02
	// intervalPriorCount is how many intervals the prediction made from run times
	// counts for.
	intervalPriorCount = 20
)

// intervalEstimator is how fast a queue moves while requests wait: the mean interval
// between the ends of its requests. It takes in all that the run times do not
// tell, such as the share of the slots that other entries take.
type intervalEstimator struct {
	interval time.Duration
	lastEnd  time.Time
	count    int
}

// reset starts the measurement when the first request waits.
func (d *intervalEstimator) reset(now time.Time, expected time.Duration) {
	*d = intervalEstimator{interval: expected, lastEnd: now}
}

// observe notes the end of a request while others wait.
func (d *intervalEstimator) observe(now time.Time) {
	d.count++
	weight := max(minIntervalWeight, 1/float64(d.count+intervalPriorCount))
	d.interval += time.Duration(weight * float64(now.Sub(d.lastEnd)-d.interval))
	d.lastEnd = now
}
