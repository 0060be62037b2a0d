package queue

import "time"

const (
	// drainSmoothing is the least weight of one interval in the mean.
	drainSmoothing = 0.02
	// drainPrior is how many intervals the prediction made from run times
	// counts for.
	drainPrior = 20
)

// drain is how fast a queue moves while requests wait: the mean interval
// between the ends of its requests. It takes in all that the run times do not
// tell, such as the share of the slots that other entries take.
type drain struct {
	interval time.Duration
	last     time.Time
	count    int
}

// begin starts the measurement when the first request waits.
func (d *drain) begin(now time.Time, expected time.Duration) {
	*d = drain{interval: expected, last: now}
}

// ended notes the end of a request while others wait.
func (d *drain) ended(now time.Time) {
	d.count++
	weight := max(drainSmoothing, 1/float64(d.count+drainPrior))
	d.interval += time.Duration(weight * float64(now.Sub(d.last)-d.interval))
	d.last = now
}
