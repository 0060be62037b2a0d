package cell

import (
	"math"
	"time"
)

// timeKey names work that takes about the same time.
type timeKey struct {
	queue string
	image string
}

// runTime is what is learned of the duration of runs: their mean, and how far
// callers' estimates tell them apart. Estimates may be many times too long or
// too short, so that durations are fitted to them in logarithms.
type runTime struct {
	mean  time.Duration
	count int
	// meanTook and meanGuess are the means of the logarithms of durations and
	// of estimates, spread the variance of the latter and both the covariance.
	meanTook  float64
	meanGuess float64
	spread    float64
	both      float64
}

const (
	// timeWeight is the weight of a new reading: the last fifty runs count.
	timeWeight = 0.02
	// defaultRunTime stands for a duration of which nothing is known.
	defaultRunTime = time.Second
	// fitCount is the number of runs from which estimates are fitted.
	fitCount = 8
	// maxFactor bounds how far an estimate moves the expectation.
	maxFactor = 3.0
)

// note adds the duration of a run that was estimated.
func (r *runTime) note(took, estimate time.Duration) {
	r.count++
	weight := max(timeWeight, 1/float64(r.count))
	r.mean += time.Duration(weight * float64(took-r.mean))
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	dx, dy := x-r.meanGuess, y-r.meanTook
	r.meanGuess += weight * dx
	r.meanTook += weight * dy
	r.spread = (1 - weight) * (r.spread + weight*dx*dx)
	r.both = (1 - weight) * (r.both + weight*dx*dy)
}

// expect returns the expected duration of a run with that estimate.
func (r *runTime) expect(estimate time.Duration) time.Duration {
	if estimate <= 0 || r.count < fitCount || r.spread <= 0 {
		return r.mean
	}
	slope := min(1, max(0, r.both/r.spread))
	factor := math.Exp(slope * (math.Log(estimate.Seconds()) - r.meanGuess))
	return time.Duration(float64(r.mean) * min(maxFactor, max(1/maxFactor, factor)))
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

// expect returns the expected duration of a run of the step's tasks.
func (c *Cell) expect(s *step) time.Duration {
	t := c.times[timeKey{s.job.Queue, s.Image}]
	switch {
	case t != nil && t.count > 0:
		return t.expect(s.Estimate)
	case s.Estimate > 0:
		return min(s.Estimate, maxFactor*defaultRunTime)
	}
	return defaultRunTime
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
		for _, a := range s.DependsOn {
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
