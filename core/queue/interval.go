package queue

import "time"

const (
	// minIntervalWeight is the least weight of one interval in the moving mean.
	minIntervalWeight = 0.02
	// intervalPriorCount is the number of intervals that the initial estimate
	// counts as.
	intervalPriorCount = 20
)

// intervalEstimator estimates the mean interval between the ends of requests
// while others wait. It accounts for what the run times do not show, such as the
// share of the slots that other entries use.
type intervalEstimator struct {
	interval time.Duration
	lastEnd  time.Time
	count    int
}

// reset starts a new estimate, with the expected interval as its initial value.
// It is called when a request begins to wait in an empty queue.
func (e *intervalEstimator) reset(now time.Time, expected time.Duration) {
	*e = intervalEstimator{interval: expected, lastEnd: now}
}

// observe updates the estimate at the end of a request while others wait.
func (e *intervalEstimator) observe(now time.Time) {
	e.count++
	weight := max(minIntervalWeight, 1/float64(e.count+intervalPriorCount))
	e.interval += time.Duration(weight * float64(now.Sub(e.lastEnd)-e.interval))
	e.lastEnd = now
}
