package rank_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyrock/core/rank"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// work returns a job of one step of a second, accepted that long ago.
func work(age time.Duration) rank.Work {
	return rank.Work{
		Accepted: start.Add(-age), Chain: time.Second, Left: time.Second, Size: 10,
		Objective: 600 * time.Millisecond, Stretch: 1.6,
	}
}

func TestClass(t *testing.T) {
	lasting := work(time.Hour)
	lasting.Lasting = true
	begun := func(age time.Duration) rank.Work {
		w := work(age)
		w.Begun = true
		return w
	}
	cases := map[string]struct {
		work rank.Work
		want rank.Class
	}{
		"new":                         {work(0), rank.InTime},
		"just in time, with a margin": {work(850 * time.Millisecond), rank.InTime},
		"just in time":                {work(1200 * time.Millisecond), rank.Tight},
		"just in time, begun":         {begun(1200 * time.Millisecond), rank.InTime},
		"too late for the aim":        {work(1300 * time.Millisecond), rank.Late},
		"too late for the aim, begun": {begun(1300 * time.Millisecond), rank.Late},
		"just of use":                 {work(5200 * time.Millisecond), rank.Late},
		"just of use, begun":          {begun(5600 * time.Millisecond), rank.Late},
		"hardly of use":               {work(5300 * time.Millisecond), rank.Hopeless},
		"too late for all":            {begun(5700 * time.Millisecond), rank.Hopeless},
		"lasting, however old":        {lasting, rank.Lasting},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, rank.Of(start, c.work).Class(), c.want) })
	}
}

func TestPriorityGoesFirstWithinAClass(t *testing.T) {
	urgent, normal := work(0), work(800*time.Millisecond)
	normal.Priority, normal.Begun = 1, true
	assert.Assert(t, rank.Of(start, urgent).Compare(rank.Of(start, normal)) < 0)
	late := work(2 * time.Second)
	assert.Assert(t, rank.Of(start, normal).Compare(rank.Of(start, late)) < 0)
}

// played is how a surge went.
type played struct{ inTime, late, never int }

// playSurge plays a queue on servers that each run one job of a second at a
// time. Ten jobs a second come for two seconds to five servers, and then one
// every other second. Order sorts those that wait.
func playSurge(order func(now time.Time, jobs []rank.Work)) played {
	const servers = 5
	var waiting []rank.Work
	var free [servers]time.Time
	var p played
	for tick := range 2000 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		if tick < 200 && tick%10 == 0 || tick >= 200 && tick%200 == 0 {
			w := work(0)
			w.Accepted = now
			waiting = append(waiting, w)
		}
		order(now, waiting)
		for i := range free {
			if len(waiting) == 0 || now.Before(free[i]) {
				continue
			}
			w := waiting[0]
			waiting = waiting[1:]
			free[i] = now.Add(time.Second)
			switch took := free[i].Sub(w.Accepted); {
			case took <= w.Bound():
				p.inTime++
			case took <= 3*w.Bound():
				p.late++
			default:
				p.never++
			}
		}
	}
	p.never += len(waiting)
	return p
}

// In a surge of twice what the servers hold, the order serves more callers in
// time than the order of arrival, and still completes the others while it is
// of use to them.
func TestSurgeServesMoreInTime(t *testing.T) {
	ranked := playSurge(func(now time.Time, jobs []rank.Work) {
		slices.SortStableFunc(jobs, func(a, b rank.Work) int { return rank.Of(now, a).Compare(rank.Of(now, b)) })
	})
	arrival := playSurge(func(time.Time, []rank.Work) {})
	t.Logf("ranked %+v, by arrival %+v", ranked, arrival)
	assert.Assert(t, ranked.inTime > arrival.inTime, "ranked %+v, by arrival %+v", ranked, arrival)
	assert.Equal(t, ranked.never, 0)
}

// stepJob is a job of one or two steps of eight tasks.
type stepJob struct {
	rank.Work
	steps, waiting, running int
}

// overload is a load in which all jobs come in the first nine seconds.
type overload struct {
	jobsPerSecond float64
	slots         func(at time.Duration) int
}

// play returns the jobs that came and those that were completed in time. The
// order is made anew every 10 ms, and a task takes 0.8 s, up to 30 % more or
// less.
func (o overload) play(seed uint64, compare func(now time.Time, a, b rank.Work) int) (came, inTime int) {
	const (
		tick  = 10 * time.Millisecond
		mean  = 800 * time.Millisecond
		surge = 9 * time.Second
		tasks = 8
	)
	random := rand.New(rand.NewPCG(seed, 1))
	var live []*stepJob
	busy, due := map[time.Duration][]*stepJob{}, 0.0
	running := 0
	for at := time.Duration(0); at < 3*surge; at += tick {
		now := start.Add(at)
		if at < surge {
			due += o.jobsPerSecond * tick.Seconds()
		}
		for ; due >= 1; due-- {
			steps := 1 + min(1, random.IntN(5)/2)
			came++
			live = append(live, &stepJob{steps: steps, waiting: tasks, Work: rank.Work{
				Accepted: now, Chain: time.Duration(steps) * mean, Left: time.Duration(steps) * mean, Objective: 600 * time.Millisecond, Stretch: 1.6,
			}})
		}
		for _, j := range busy[at] {
			running--
			if j.running--; j.running > 0 || j.waiting > 0 {
				continue
			}
			j.Left -= mean
			if j.steps--; j.steps > 0 {
				j.waiting = tasks
			} else if now.Sub(j.Accepted) <= j.Bound() {
				inTime++
			}
		}
		delete(busy, at)
		live = slices.DeleteFunc(live, func(j *stepJob) bool { return j.steps == 0 })
		slices.SortStableFunc(live, func(a, b *stepJob) int { return compare(now, a.Work, b.Work) })
		for _, j := range live {
			for ; j.waiting > 0 && running < o.slots(at); j.waiting-- {
				j.running++
				running++
				j.Begun = true
				took := time.Duration(float64(mean) * (0.7 + 0.6*random.Float64()))
				end := (at + took).Truncate(tick)
				busy[end] = append(busy[end], j)
			}
		}
	}
	return came, inTime
}

// In a surge of jobs with steps the order completes in time about what the
// pool holds. The order of deadlines spends most of it on jobs that miss theirs
// at the last step.
func TestSurgeOfStepsCompletesWhatItBegins(t *testing.T) {
	ranked := func(now time.Time, a, b rank.Work) int { return rank.Of(now, a).Compare(rank.Of(now, b)) }
	byArrival := func(_ time.Time, a, b rank.Work) int { return a.Accepted.Compare(b.Accepted) }
	byDeadline := func(now time.Time, a, b rank.Work) int {
		a.Begun, b.Begun = true, true // no margin, and no order between begun and new jobs
		return ranked(now, a, b)
	}
	// A pool of 80 hosts completes 78 jobs a second, of 1.6 steps.
	cases := map[string]struct {
		load overload
		// least is the share that is to be completed in time: nine tenths of
		// the work that the pool holds during the surge.
		least float64
	}{
		"twice what the pool holds": {overload{170, func(time.Duration) int { return 800 }}, 0.9 * 78 / 170},
		"hosts come after 3 s": {overload{170, func(at time.Duration) int {
			if at < 3*time.Second {
				return 480
			}
			return 1700
		}}, 0.9 * (47*3 + 166*6) / (170 * 9)},
		"hosts come after 4 s": {overload{170, func(at time.Duration) int {
			if at < 4*time.Second {
				return 800
			}
			return 1400
		}}, 0.9 * (78*4 + 137*5) / (170 * 9)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				came, inTime := c.load.play(seed, ranked)
				_, arrival := c.load.play(seed, byArrival)
				_, deadline := c.load.play(seed, byDeadline)
				t.Logf("of %d jobs %d in time, %d by arrival, %d by deadline", came, inTime, arrival, deadline)
				assert.Assert(t, float64(inTime) >= c.least*float64(came))
				assert.Assert(t, inTime > arrival && inTime > deadline)
			}
		})
	}
}
