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

// stepJob is a job of one or two steps, whose tasks of a core each run side by
// side.
type stepJob struct {
	rank.Job
	steps, width, waiting, running int
	// mean is the mean duration of its tasks, guess what is known of it.
	mean, guess time.Duration
	worth       float64
}

// bound returns the time that counts: the longest chain of its tasks takes a
// fifth longer than the mean.
func (j *stepJob) bound() time.Duration {
	return time.Duration(1.2*j.Stretch*float64(j.mean)*float64(j.total())) + j.Objective
}

func (j *stepJob) total() int { return int(math.Round(float64(j.CriticalPath) / float64(j.guess))) }

// surge is a load whose jobs all come in its first time, and the slots of the
// pool.
type surge struct {
	jobsPerSecond float64
	lasts         time.Duration
	slots         func(at time.Duration) int
}

// order compares two jobs in a turn.
type order func(now time.Time, t rank.Params, a, b rank.Job) int

const (
	meanWidth = 8
	meanTask  = 800 * time.Millisecond
	meanSteps = 1.6
)

// newStepJob returns a job like those of the sheets: its width, the duration of
// its tasks and the guess at that vary from job to job.
func newStepJob(now time.Time, random *rand.Rand) *stepJob {
	vary := func(mean, spread float64) float64 {
		return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	}
	j := &stepJob{steps: 1 + min(1, random.IntN(5)/2), width: min(32, max(1, int(vary(meanWidth, 0.55)+0.5)))}
	j.mean = time.Duration(min(2, vary(meanTask.Seconds(), 0.3)) * float64(time.Second))
	j.guess = time.Duration(vary(float64(j.mean), 0.3))
	j.waiting = j.width
	j.worth = 0.3 + 0.7*float64(j.width*j.steps)*j.mean.Seconds()/(meanWidth*meanSteps*meanTask.Seconds())
	chain := time.Duration(j.steps) * j.guess
	j.Job = rank.Job{Accepted: now, CriticalPath: chain, RemainingPath: chain, RemainingWork: float64(j.width) * chain.Seconds(), Objective: 600 * time.Millisecond, Stretch: 1.6}
	return j
}

// play returns the worth of the jobs that came, of those completed in time and
// of those completed too late to count.
func (s surge) play(seed uint64, compare order) (came, inTime, never float64) {
	const (
		tick          = 10 * time.Millisecond
		expiringTurns = 7
	)
	arrivals, random := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var live []*stepJob
	ends, due, running := map[time.Duration][]*stepJob{}, 0.0, 0
	for at := time.Duration(0); at < s.lasts+15*time.Second; at += tick {
		now := start.Add(at)
		if at < s.lasts {
			due += s.jobsPerSecond * tick.Seconds() * (0.5 + arrivals.Float64())
		}
		for ; due >= 1; due-- {
			j := newStepJob(now, arrivals)
			live, came = append(live, j), came+j.worth
		}
		for _, j := range ends[at] {
			running--
			if j.running--; j.running > 0 || j.waiting > 0 {
				continue
			}
			j.RemainingPath -= j.guess
			j.RemainingWork -= float64(j.width) * j.guess.Seconds()
			if j.steps--; j.steps > 0 {
				j.waiting = j.width
				continue
			}
			switch took := now.Sub(j.Accepted); {
			case took <= j.bound():
				inTime += j.worth
			case took > 3*j.bound():
				never += j.worth
			}
		}
		delete(ends, at)
		live = slices.DeleteFunc(live, func(j *stepJob) bool { return j.steps == 0 })
		var l rank.Load
		for _, j := range live {
			l.Add(now, j.Job)
		}
		turn := rank.Params{Margin: l.Margin(float64(s.slots(at))), ExpiringFirst: at/tick%expiringTurns == 0}
		slices.SortStableFunc(live, func(a, b *stepJob) int { return compare(now, turn, a.Job, b.Job) })
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
	return came, inTime, never
}

func ranked(now time.Time, t rank.Params, a, b rank.Job) int {
	return rank.Of(now, a, t).Compare(rank.Of(now, b, t))
}

// starving is the order without turns for expiring work.
func starving(now time.Time, t rank.Params, a, b rank.Job) int {
	return ranked(now, rank.Params{Margin: t.Margin}, a, b)
}

func byArrival(_ time.Time, _ rank.Params, a, b rank.Job) int { return a.Accepted.Compare(b.Accepted) }

// byDeadline is the order without a margin and without regard to what has
// begun.
func byDeadline(now time.Time, _ rank.Params, a, b rank.Job) int {
	a.Started, b.Started = true, true
	return ranked(now, rank.Params{}, a, b)
}

// always returns that many slots, steps another number from a time on.
func always(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

func steps(n int, until time.Duration, then int) func(time.Duration) int {
	return func(at time.Duration) int {
		if at < until {
			return n
		}
		return then
	}
}

// A pool of 800 slots completes 78 jobs a second. In a surge the order
// completes in time far more than that of deadlines, which spends the slots on
// jobs that miss theirs at the last step. If nearly all jobs can make it, it
// loses none of them.
func TestSurge(t *testing.T) {
	const eight = 8 * time.Second
	cases := map[string]struct {
		load surge
		// gain is the least worth completed in time, against that of the order
		// of deadlines.
		gain float64
	}{
		"twice what the pool holds":       {surge{170, eight, always(800)}, 1.8},
		"a quarter more":                  {surge{100, eight, always(800)}, 1.05},
		"hosts come after 3 s":            {surge{170, eight, steps(480, 3*time.Second, 1700)}, 1},
		"hosts come after 4 s":            {surge{170, eight, steps(800, 4*time.Second, 1400)}, 1.3},
		"hosts come in time":              {surge{110, eight, steps(800, 4*time.Second, 1400)}, 0.99},
		"about what the pool holds":       {surge{80, eight, always(800)}, 0.99},
		"hosts come in time, short surge": {surge{110, 4 * time.Second, steps(480, 2500*time.Millisecond, 1400)}, 0.98},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var came, inTime, never, arrival, deadline, deadlineNever float64
			for seed := range uint64(3) {
				n, in, nv := c.load.play(seed, ranked)
				_, ar, _ := c.load.play(seed, byArrival)
				_, de, dn := c.load.play(seed, byDeadline)
				came, inTime, never, arrival, deadline, deadlineNever = came+n, inTime+in, never+nv, arrival+ar, deadline+de, deadlineNever+dn
			}
			t.Logf("in time %.3f, by arrival %.3f, by deadline %.3f; never %.3f, by deadline %.3f",
				inTime/came, arrival/came, deadline/came, never/came, deadlineNever/came)
			assert.Assert(t, inTime >= c.gain*deadline)
			assert.Assert(t, inTime >= 0.98*arrival)
			assert.Assert(t, never <= deadlineNever+0.01*came)
		})
	}
}

// Turns for expiring work leave half as many jobs or fewer to become useless, and
// cost few of those that can be in time.
func TestSurgeStarvesFew(t *testing.T) {
	const eight = 8 * time.Second
	cases := map[string]surge{
		"hosts come after 3 s": {170, eight, steps(480, 3*time.Second, 1700)},
		"hosts come after 4 s": {170, eight, steps(800, 4*time.Second, 1400)},
	}
	for name, load := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var inTime, never, inTimeWithout, neverWithout float64
			for seed := range uint64(3) {
				_, in, nv := load.play(seed, ranked)
				_, inWithout, nvWithout := load.play(seed, starving)
				inTime, never, inTimeWithout, neverWithout = inTime+in, never+nv, inTimeWithout+inWithout, neverWithout+nvWithout
			}
			t.Logf("in time %.0f, without %.0f; never %.0f, without %.0f", inTime, inTimeWithout, never, neverWithout)
			assert.Assert(t, never <= neverWithout/2)
			assert.Assert(t, inTime >= 0.96*inTimeWithout)
		})
	}
}
