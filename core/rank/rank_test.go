package rank_test

import (
	"slices"
	"testing"
	"time"

	"bramleyrock/core/rank"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// newJob returns a job of one step that takes a second, accepted that long ago.
func newJob(age time.Duration) rank.Job {
	return rank.Job{
		Accepted: start.Add(-age), CriticalPath: time.Second, RemainingPath: time.Second, RemainingWork: 10,
		Objective: 600 * time.Millisecond, Stretch: 1.6,
	}
}

var withMargin = rank.Params{Margin: 0.35}

func TestClass(t *testing.T) {
	persistent := newJob(time.Hour)
	persistent.Persistent = true
	started := func(age time.Duration) rank.Job {
		job := newJob(age)
		job.Started = true
		return job
	}
	cases := map[string]struct {
		job  rank.Job
		want rank.Class
	}{
		"new":                              {newJob(0), rank.OnTime},
		"just on time, with the margin":    {newJob(850 * time.Millisecond), rank.OnTime},
		"just on time, without the margin": {newJob(1200 * time.Millisecond), rank.Tight},
		"just on time, started":            {started(1200 * time.Millisecond), rank.OnTime},
		"too late for the bound":           {newJob(1300 * time.Millisecond), rank.Late},
		"too late for the bound, started":  {started(1300 * time.Millisecond), rank.Late},
		"just of use, with the margin":     {newJob(5200 * time.Millisecond), rank.Late},
		"just of use, started":             {started(5600 * time.Millisecond), rank.Late},
		"just of use, without the margin":  {newJob(5300 * time.Millisecond), rank.Expired},
		"too late to be of use, started":   {started(5700 * time.Millisecond), rank.Expired},
		"persistent, accepted long ago":    {persistent, rank.Persistent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, rank.Of(start, c.job, withMargin).Class(), c.want) })
	}
}

func TestPriorityGoesFirstWithinAClass(t *testing.T) {
	urgent, normal := newJob(0), newJob(800*time.Millisecond)
	normal.Priority, normal.Started = 1, true
	assert.Assert(t, rank.Of(start, urgent, withMargin).Compare(rank.Of(start, normal, withMargin)) < 0)
	late := newJob(2 * time.Second)
	assert.Assert(t, rank.Of(start, normal, withMargin).Compare(rank.Of(start, late, withMargin)) < 0)
}

// outcome counts the jobs that were completed on time, late but of use, and too late or
// never.
type outcome struct{ onTime, late, useless int }

// simulateSurge simulates a queue of five servers that each run one job of a second at a
// time. Ten jobs a second arrive for two seconds, and then one every other second. Order
// sorts the waiting jobs.
func simulateSurge(order func(now time.Time, jobs []rank.Job)) outcome {
	const servers = 5
	var waiting []rank.Job
	var free [servers]time.Time
	var result outcome
	for tick := range 2000 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		if tick < 200 && tick%10 == 0 || tick >= 200 && tick%200 == 0 {
			job := newJob(0)
			job.Accepted = now
			waiting = append(waiting, job)
		}
		order(now, waiting)
		for i := range free {
			if len(waiting) == 0 || now.Before(free[i]) {
				continue
			}
			job := waiting[0]
			waiting = waiting[1:]
			free[i] = now.Add(time.Second)
			switch took := free[i].Sub(job.Accepted); {
			case took <= job.Bound():
				result.onTime++
			case took <= 3*job.Bound():
				result.late++
			default:
				result.useless++
			}
		}
	}
	result.useless += len(waiting)
	return result
}

// In a surge of twice the capacity, ranked order must complete more jobs on time than
// order of arrival, and must complete the others while they are of use.
func TestSurgeServesMoreInTime(t *testing.T) {
	ranked := simulateSurge(func(now time.Time, jobs []rank.Job) {
		slices.SortStableFunc(jobs, func(a, b rank.Job) int { return rank.Of(now, a, withMargin).Compare(rank.Of(now, b, withMargin)) })
	})
	arrival := simulateSurge(func(time.Time, []rank.Job) {})
	t.Logf("ranked %+v, by arrival %+v", ranked, arrival)
	assert.Assert(t, ranked.onTime > arrival.onTime, "ranked %+v, by arrival %+v", ranked, arrival)
	assert.Equal(t, ranked.useless, 0)
}
