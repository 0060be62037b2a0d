package rank_test

import (
	"slices"
	"testing"
	"time"

	"bramleyrock/core/rank"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// work returns a job of one step of a second, accepted that long ago.
func work(age time.Duration) rank.Job {
	return rank.Job{
		Accepted: start.Add(-age), CriticalPath: time.Second, RemainingPath: time.Second, RemainingWork: 10,
		Objective: 600 * time.Millisecond, Stretch: 1.6,
	}
}

var margin = rank.Params{Margin: 0.35}

func TestClass(t *testing.T) {
	lasting := work(time.Hour)
	lasting.Persistent = true
	begun := func(age time.Duration) rank.Job {
		w := work(age)
		w.Started = true
		return w
	}
	cases := map[string]struct {
		work rank.Job
		want rank.Class
	}{
		"new":                         {work(0), rank.OnTime},
		"just in time, with a margin": {work(850 * time.Millisecond), rank.OnTime},
		"just in time":                {work(1200 * time.Millisecond), rank.Tight},
		"just in time, begun":         {begun(1200 * time.Millisecond), rank.OnTime},
		"too late for the aim":        {work(1300 * time.Millisecond), rank.Late},
		"too late for the aim, begun": {begun(1300 * time.Millisecond), rank.Late},
		"just of use":                 {work(5200 * time.Millisecond), rank.Late},
		"just of use, begun":          {begun(5600 * time.Millisecond), rank.Late},
		"hardly of use":               {work(5300 * time.Millisecond), rank.Expired},
		"too late for all":            {begun(5700 * time.Millisecond), rank.Expired},
		"lasting, however old":        {lasting, rank.Persistent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, rank.Of(start, c.work, margin).Class(), c.want) })
	}
}

func TestPriorityGoesFirstWithinAClass(t *testing.T) {
	urgent, normal := work(0), work(800*time.Millisecond)
	normal.Priority, normal.Started = 1, true
	assert.Assert(t, rank.Of(start, urgent, margin).Compare(rank.Of(start, normal, margin)) < 0)
	late := work(2 * time.Second)
	assert.Assert(t, rank.Of(start, normal, margin).Compare(rank.Of(start, late, margin)) < 0)
}

// played is how a surge went.
type played struct{ inTime, late, never int }

// playSurge plays a queue on servers that each run one job of a second at a
// time. Ten jobs a second come for two seconds to five servers, and then one
// every other second. Order sorts those that wait.
func playSurge(order func(now time.Time, jobs []rank.Job)) played {
	const servers = 5
	var waiting []rank.Job
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
	ranked := playSurge(func(now time.Time, jobs []rank.Job) {
		slices.SortStableFunc(jobs, func(a, b rank.Job) int { return rank.Of(now, a, margin).Compare(rank.Of(now, b, margin)) })
	})
	arrival := playSurge(func(time.Time, []rank.Job) {})
	t.Logf("ranked %+v, by arrival %+v", ranked, arrival)
	assert.Assert(t, ranked.inTime > arrival.inTime, "ranked %+v, by arrival %+v", ranked, arrival)
	assert.Equal(t, ranked.never, 0)
}
