package rank_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyrock/core/rank"

	"gotest.tools/v3/assert"
)

// simJob is a job of one or two steps. The tasks of a step need one core each and run
// in parallel.
type simJob struct {
	rank.Job
	steps, width, waiting, running int
	// mean is the mean duration of its tasks, estimate the estimate of it that the
	// rank is computed from.
	mean, estimate time.Duration
	// value is the weight of the job in the results; it grows with its work.
	value float64
}

// effectiveBound returns the bound that decides the outcome. It is longer than
// [rank.Job.Bound], since the longest path of tasks takes a fifth longer than the mean.
func (j *simJob) effectiveBound() time.Duration {
	return time.Duration(1.2*j.Stretch*float64(j.mean)*float64(j.totalSteps())) + j.Objective
}

func (j *simJob) totalSteps() int {
	return int(math.Round(float64(j.CriticalPath) / float64(j.estimate)))
}

// surge is a load whose jobs all arrive within its duration, and the slots of the pool
// over time.
type surge struct {
	jobsPerSecond float64
	duration      time.Duration
	slots         func(at time.Duration) int
}

// order compares two jobs in one scheduling round.
type order func(now time.Time, t rank.Params, a, b rank.Job) int

const (
	meanWidth = 8
	meanTask  = 800 * time.Millisecond
	meanSteps = 1.6
)

// newSimJob returns a job like those of the users' load: its width, the duration of its
// tasks and the error of the estimate vary from job to job.
func newSimJob(now time.Time, random *rand.Rand) *simJob {
	vary := func(mean, spread float64) float64 {
		return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	}
	j := &simJob{steps: 1 + min(1, random.IntN(5)/2), width: min(32, max(1, int(vary(meanWidth, 0.55)+0.5)))}
	j.mean = time.Duration(min(2, vary(meanTask.Seconds(), 0.3)) * float64(time.Second))
	j.estimate = time.Duration(vary(float64(j.mean), 0.3))
	j.waiting = j.width
	j.value = 0.3 + 0.7*float64(j.width*j.steps)*j.mean.Seconds()/(meanWidth*meanSteps*meanTask.Seconds())
	path := time.Duration(j.steps) * j.estimate
	j.Job = rank.Job{Accepted: now, CriticalPath: path, RemainingPath: path, RemainingWork: float64(j.width) * path.Seconds(), Objective: 600 * time.Millisecond, Stretch: 1.6}
	return j
}

// run returns the value of the jobs that arrived, of those completed on time and of those
// completed too late to be of use.
func (s surge) run(seed uint64, compare order) (arrived, onTime, useless float64) {
	const (
		tick           = 10 * time.Millisecond
		expiringRounds = 7 // one round in 7 serves expiring jobs first
	)
	arrivals, random := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var live []*simJob
	ends, due, running := map[time.Duration][]*simJob{}, 0.0, 0
	for at := time.Duration(0); at < s.duration+15*time.Second; at += tick {
		now := start.Add(at)
		if at < s.duration {
			due += s.jobsPerSecond * tick.Seconds() * (0.5 + arrivals.Float64())
		}
		for ; due >= 1; due-- {
			j := newSimJob(now, arrivals)
			live, arrived = append(live, j), arrived+j.value
		}
		for _, j := range ends[at] {
			running--
			if j.running--; j.running > 0 || j.waiting > 0 {
				continue
			}
			j.RemainingPath -= j.estimate
			j.RemainingWork -= float64(j.width) * j.estimate.Seconds()
			if j.steps--; j.steps > 0 {
				j.waiting = j.width
				continue
			}
			switch took := now.Sub(j.Accepted); {
			case took <= j.effectiveBound():
				onTime += j.value
			case took > 3*j.effectiveBound():
				useless += j.value
			}
		}
		delete(ends, at)
		live = slices.DeleteFunc(live, func(j *simJob) bool { return j.steps == 0 })
		var l rank.Load
		for _, j := range live {
			l.Add(now, j.Job)
		}
		params := rank.Params{Margin: l.Margin(float64(s.slots(at))), ExpiringFirst: at/tick%expiringRounds == 0}
		slices.SortStableFunc(live, func(a, b *simJob) int { return compare(now, params, a.Job, b.Job) })
		for _, j := range live {
			for ; j.waiting > 0 && running < s.slots(at); j.waiting-- {
				j.running++
				running++
				j.Started = true
				end := (at + time.Duration(float64(j.mean)*(0.6+0.8*random.Float64()))).Truncate(tick)
				ends[end] = append(ends[end], j)
			}
		}
	}
	return arrived, onTime, useless
}

func ranked(now time.Time, p rank.Params, a, b rank.Job) int {
	return rank.Of(now, a, p).Compare(rank.Of(now, b, p))
}

// withoutExpiring is the order without rounds that serve expiring jobs first.
func withoutExpiring(now time.Time, p rank.Params, a, b rank.Job) int {
	return ranked(now, rank.Params{Margin: p.Margin}, a, b)
}

func byArrival(_ time.Time, _ rank.Params, a, b rank.Job) int { return a.Accepted.Compare(b.Accepted) }

// byDeadline is earliest-deadline-first order: there is no margin, and jobs that have
// started do not go before new ones.
func byDeadline(now time.Time, _ rank.Params, a, b rank.Job) int {
	a.Started, b.Started = true, true
	return ranked(now, rank.Params{}, a, b)
}

// constantSlots is a pool with n slots at all times.
func constantSlots(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// steppedSlots is a pool whose number of slots changes from n to then at the given time.
func steppedSlots(n int, until time.Duration, then int) func(time.Duration) int {
	return func(at time.Duration) int {
		if at < until {
			return n
		}
		return then
	}
}

// A pool of 800 slots completes 78 jobs a second. In a surge, ranked order must complete
// far more on time than earliest-deadline-first order, which spends the slots on jobs
// that miss their deadlines in the last step. If nearly all jobs can be completed on
// time, the margin may make hardly any of them late.
func TestSurge(t *testing.T) {
	const surgeTime = 8 * time.Second
	cases := map[string]struct {
		load surge
		// gain is the minimum value completed on time, as a multiple of that of
		// earliest-deadline-first order.
		gain float64
	}{
		"twice the capacity":                {surge{170, surgeTime, constantSlots(800)}, 1.8},
		"a quarter more than the capacity":  {surge{100, surgeTime, constantSlots(800)}, 1.05},
		"hosts arrive after 3 s":            {surge{170, surgeTime, steppedSlots(480, 3*time.Second, 1700)}, 1},
		"hosts arrive after 4 s":            {surge{170, surgeTime, steppedSlots(800, 4*time.Second, 1400)}, 1.3},
		"hosts arrive in time":              {surge{110, surgeTime, steppedSlots(800, 4*time.Second, 1400)}, 0.99},
		"about the capacity":                {surge{80, surgeTime, constantSlots(800)}, 0.99},
		"hosts arrive in time, short surge": {surge{110, 4 * time.Second, steppedSlots(480, 2500*time.Millisecond, 1400)}, 0.98},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var arrived, onTime, useless, byArrivalOnTime, byDeadlineOnTime, byDeadlineUseless float64
			for seed := range uint64(3) {
				n, in, nv := c.load.run(seed, ranked)
				_, ar, _ := c.load.run(seed, byArrival)
				_, de, dn := c.load.run(seed, byDeadline)
				arrived, onTime, useless, byArrivalOnTime, byDeadlineOnTime, byDeadlineUseless = arrived+n, onTime+in, useless+nv, byArrivalOnTime+ar, byDeadlineOnTime+de, byDeadlineUseless+dn
			}
			t.Logf("on time %.3f, by arrival %.3f, by deadline %.3f; useless %.3f, by deadline %.3f",
				onTime/arrived, byArrivalOnTime/arrived, byDeadlineOnTime/arrived, useless/arrived, byDeadlineUseless/arrived)
			assert.Assert(t, onTime >= c.gain*byDeadlineOnTime)
			assert.Assert(t, onTime >= 0.98*byArrivalOnTime)
			assert.Assert(t, useless <= byDeadlineUseless+0.01*arrived)
		})
	}
}

// Rounds that serve expiring jobs first must at least halve the jobs that become useless,
// and may cost few of those that can be completed on time.
func TestSurgeStarvesFew(t *testing.T) {
	const surgeTime = 8 * time.Second
	cases := map[string]surge{
		"hosts arrive after 3 s": {170, surgeTime, steppedSlots(480, 3*time.Second, 1700)},
		"hosts arrive after 4 s": {170, surgeTime, steppedSlots(800, 4*time.Second, 1400)},
	}
	for name, load := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var onTime, useless, onTimeWithout, uselessWithout float64
			for seed := range uint64(3) {
				_, in, nv := load.run(seed, ranked)
				_, inWithout, nvWithout := load.run(seed, withoutExpiring)
				onTime, useless, onTimeWithout, uselessWithout = onTime+in, useless+nv, onTimeWithout+inWithout, uselessWithout+nvWithout
			}
			t.Logf("on time %.0f, without %.0f; useless %.0f, without %.0f", onTime, onTimeWithout, useless, uselessWithout)
			assert.Assert(t, useless <= uselessWithout/2)
			assert.Assert(t, onTime >= 0.96*onTimeWithout)
		})
	}
}
