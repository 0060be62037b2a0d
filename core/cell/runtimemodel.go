package cell

import (
	"math"
	"time"
)

// runTimeKey names work that takes about the same time.
type runTimeKey struct {
	queue string
	image string
}

// runTimeModel is what is learned of the duration of runs: their mean, and how far
// callers' estimates tell them apart. Estimates may be many times too long or
// too short, so that durations are fitted to them in logarithms.
type runTimeModel struct {
	mean  time.Duration
	count int
	// meanLogTime and meanGuess are the means of the logarithms of durations and
	// of estimates, spread the variance of the latter and both the covariance.
	meanLogTime     float64
	meanLogEstimate float64
	varLogEstimate  float64
	covariance      float64
}

const (
	// runTimeWeight is the weight of a new reading: the last fifty runs count.
	runTimeWeight = 0.02
	// defaultRunTime stands for a duration of which nothing is known.
	defaultRunTime = time.Second
	// minFitCount is the number of runs from which estimates are fitted.
	minFitCount = 8
	// maxEstimateFactor bounds how far an estimate moves the expectation.
	maxEstimateFactor = 3.0
)

// record adds the duration of a run that was estimated.
func (r *runTimeModel) record(took, estimate time.Duration) {
	r.count++
	weight := max(runTimeWeight, 1/float64(r.count))
	r.mean += time.Duration(weight * float64(took-r.mean))
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	dx, dy := x-r.meanLogEstimate, y-r.meanLogTime
	r.meanLogEstimate += weight * dx
	r.meanLogTime += weight * dy
	r.varLogEstimate = (1 - weight) * (r.varLogEstimate + weight*dx*dx)
	r.covariance = (1 - weight) * (r.covariance + weight*dx*dy)
}

// predict returns the expected duration of a run with that estimate.
func (r *runTimeModel) predict(estimate time.Duration) time.Duration {
	if estimate <= 0 || r.count < minFitCount || r.varLogEstimate <= 0 {
		return r.mean
	}
	slope := min(1, max(0, r.covariance/r.varLogEstimate))
	factor := math.Exp(slope * (math.Log(estimate.Seconds()) - r.meanLogEstimate))
	return time.Duration(float64(r.mean) * min(maxEstimateFactor, max(1/maxEstimateFactor, factor)))
}

func (c *Cell) runTimeModel(s *step) *runTimeModel {
	k := runTimeKey{s.job.Queue, s.Image}
	t := c.runTimes[k]
	if t == nil {
		t = &runTimeModel{}
		c.runTimes[k] = t
	}
	return t
}

// expectedRunTime returns the expected duration of a run of the step's tasks.
func (c *Cell) expectedRunTime(s *step) time.Duration {
	t := c.runTimes[runTimeKey{s.job.Queue, s.Image}]
	switch {
	case t != nil && t.count > 0:
		return t.predict(s.Estimate)
	case s.Estimate > 0:
		return min(s.Estimate, maxEstimateFactor*defaultRunTime)
	}
	return defaultRunTime
}

// criticalPath returns the longest chain of expected work through the job's tasks
// that are not done.
func (c *Cell) criticalPath(j *job) time.Duration {
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
		if s.remaining > 0 {
			ends[i] += c.expectedRunTime(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
