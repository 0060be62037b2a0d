package cell

import "time"

// timeKey names work that takes about the same time.
type timeKey struct {
	queue string
	image string
}

// runTime is what is learned of the duration of runs.
type runTime struct {
	mean  time.Duration
	ratio float64
	count int
}

// timeWeight is the weight of a new reading: the last twenty runs count.
const timeWeight = 0.05

// defaultRunTime stands for a duration of which nothing is known.
const defaultRunTime = time.Second

// note adds the duration of a run that was estimated.
func (r *runTime) note(took, estimate time.Duration) {
	ratio := 1.0
	if estimate > 0 {
		ratio = float64(took) / float64(estimate)
	}
	r.count++
	weight := max(timeWeight, 1/float64(r.count))
	r.mean += time.Duration(weight * float64(took-r.mean))
	r.ratio += weight * (ratio - r.ratio)
}

func (c *Cell) timesOf(s *step) *runTime {
	k := timeKey{s.job.Queue, s.Image}
	t := c.times[k]
	if t == nil {
		t = &runTime{}
		c.times[k] = t
	}
	return t
}

// expect returns the expected duration of a run of the step's tasks: halfway
// between the queue's mean and the corrected estimate.
func (c *Cell) expect(s *step) time.Duration {
	t := c.times[timeKey{s.job.Queue, s.Image}]
	switch {
	case t == nil || t.count == 0:
		if s.Estimate > 0 {
			return s.Estimate
		}
		return defaultRunTime
	case s.Estimate <= 0:
		return t.mean
	}
	corrected := time.Duration(min(t.ratio, 3) * float64(s.Estimate))
	return (corrected + t.mean) / 2
}

// chain returns the longest chain of expected work through the job's tasks
// that are not done.
func (c *Cell) chain(j *job) time.Duration {
	n := len(j.Spec.Steps)
	var longest time.Duration
	ends := make([]time.Duration, n)
	for i := range n {
		s := j.steps[i]
		var before time.Duration
		for _, a := range s.After {
			before = max(before, ends[a])
		}
		ends[i] = before
		if s.left > 0 {
			ends[i] += c.expect(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
