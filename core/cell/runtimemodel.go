package cell

import (
	"math"
	"time"
)

// runTimeKey identifies tasks that are expected to take about the same time.
type runTimeKey struct {
	queue string
	image string
}

// runTimeModel predicts run times from past runs: from their mean, and from a
// linear regression on the callers' estimates. The regression uses logarithms
// because estimates may be many times too long or too short.
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
	// runTimeWeight is the weight of a new run in the averages, which makes them
	// cover about the last 50 runs.
	runTimeWeight = 0.02
	// defaultRunTime is the expected run time without any runs or estimates.
	defaultRunTime = time.Second
	// minFitCount is the least number of runs for which estimates are used.
	minFitCount = 8
	// maxEstimateFactor bounds the ratio between a prediction and the mean.
	maxEstimateFactor = 3.0
)

// record adds the run time of a run and its estimate, which may be 0 for none.
func (r *runTimeModel) record(runTime, estimate time.Duration) {
	r.count++
	weight := max(runTimeWeight, 1/float64(r.count))
	r.mean += time.Duration(weight * float64(runTime-r.mean))
	if estimate <= 0 || runTime <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(runTime.Seconds())
	dx, dy := x-r.meanLogEstimate, y-r.meanLogTime
	r.meanLogEstimate += weight * dx
	r.meanLogTime += weight * dy
	r.varLogEstimate = (1 - weight) * (r.varLogEstimate + weight*dx*dx)
	r.covariance = (1 - weight) * (r.covariance + weight*dx*dy)
}

// predict returns the expected run time for an estimate, which may be 0 for none.
func (r *runTimeModel) predict(estimate time.Duration) time.Duration {
	if estimate <= 0 || r.count < minFitCount || r.varLogEstimate <= 0 {
		return r.mean
	}
	slope := min(1, max(0, r.covariance/r.varLogEstimate))
	factor := math.Exp(slope * (math.Log(estimate.Seconds()) - r.meanLogEstimate))
	return time.Duration(float64(r.mean) * min(maxEstimateFactor, max(1/maxEstimateFactor, factor)))
}

// runTimeModel returns the model for the step's tasks. It creates the model if
// there is none.
func (c *Cell) runTimeModel(s *step) *runTimeModel {
	k := runTimeKey{s.job.Queue, s.Image}
	t := c.runTimes[k]
	if t == nil {
		t = &runTimeModel{}
		c.runTimes[k] = t
	}
	return t
}

// expectedRunTime returns the expected run time of one of the step's tasks.
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

// criticalPath returns the expected time of the longest chain of dependent steps that are not
// done, of the job's first open occurrence.
func (c *Cell) criticalPath(j *job) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i, s := range j.firstSteps() {
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
