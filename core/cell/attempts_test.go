package cell_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// attemptQueue returns a queue whose tasks may fail as often as given.
func attemptQueue(attempts int) works.Queue {
	return works.Queue{Name: "q", Pool: "tins", Attempts: attempts, Stretch: 1.6, Objective: time.Second}
}

// TestAttemptsAreThoseOfTheAcceptance guards against a job that is failed before its tasks have
// failed as often as was configured when the job was accepted, or started more often, because of
// later configurations or of an older record of its queue.
func TestAttemptsAreThoseOfTheAcceptance(t *testing.T) {
	queues := func(attempts int) []works.Queue { return []works.Queue{attemptQueue(attempts)} }
	type change struct{ configured, removed []works.Queue }
	gang := step(2)
	gang.Gang = true
	cases := map[string]struct {
		accepted []int // attempts in the rows of the job, 0 for a row without settings
		before   change
		after    change // after the first failure
		starts   int
	}{
		"nothing changes":                             {[]int{4}, change{queues(4), nil}, change{queues(4), nil}, 4},
		"removed, with an older record":               {[]int{4}, change{queues(4), nil}, change{nil, queues(2)}, 4},
		"removed, without a record":                   {[]int{4}, change{queues(4), nil}, change{nil, nil}, 4},
		"removed before it is read, older record":     {[]int{4}, change{nil, queues(2)}, change{nil, queues(2)}, 4},
		"removed before it is read, newer record":     {[]int{2}, change{nil, queues(4)}, change{nil, queues(4)}, 2},
		"removed before it is read, no record":        {[]int{3}, change{}, change{}, 3},
		"lowered in place":                            {[]int{4}, change{queues(4), nil}, change{queues(2), nil}, 4},
		"raised in place":                             {[]int{2}, change{queues(2), nil}, change{queues(4), nil}, 2},
		"removed and added with fewer":                {[]int{4}, change{nil, queues(4)}, change{queues(1), nil}, 4},
		"the owner has an older configuration":        {[]int{4}, change{queues(2), nil}, change{queues(4), nil}, 4},
		"stored twice":                                {[]int{2, 4}, change{queues(4), nil}, change{nil, queues(2)}, 4},
		"stored twice, the larger number first":       {[]int{4, 2}, change{queues(2), nil}, change{nil, queues(2)}, 4},
		"stored without settings":                     {[]int{0}, change{queues(4), nil}, change{nil, queues(2)}, 4},
		"stored without settings, removed before":     {[]int{0}, change{nil, queues(3)}, change{nil, queues(3)}, 3},
		"stored without settings, newer record":       {[]int{0}, change{nil, queues(2)}, change{nil, queues(4)}, 4},
		"stored without settings, changed in place":   {[]int{0}, change{queues(2), nil}, change{queues(3), nil}, 3},
		"stored twice, first without settings":        {[]int{0, 4}, change{nil, nil}, change{nil, nil}, 4},
		"stored twice, the second without settings":   {[]int{4, 0}, change{queues(2), nil}, change{nil, queues(2)}, 4},
		"known only after the first failure":          {[]int{0}, change{}, change{queues(2), nil}, 2},
		"known only after it has failed often enough": {[]int{0}, change{}, change{queues(1), nil}, 1},
	}
	for name, c := range cases {
		for kind, s := range map[string]works.Step{"task": step(1), "gang": gang} {
			t.Run(name+", "+kind, func(t *testing.T) {
				b := newHarness(t, 4, nil)
				b.SetQueues(c.before.configured, c.before.removed...)
				for _, n := range c.accepted {
					j := job("a", s)
					if n > 0 {
						q := attemptQueue(n)
						j.Settings = q.Settings()
					}
					b.AddJob(b.now, j, 9)
				}
				starts := 0
				if b.failNext() {
					starts++
				}
				for b.SetQueues(c.after.configured, c.after.removed...); b.failNext(); {
					starts++
				}
				b.flush()
				assert.Equal(t, starts, c.starts)
				assert.Equal(t, b.outcomes["a"], works.Failed)
			})
		}
	}
}

// TestTicketsOfARemovedQueue guards against a job that workers refuse for good, or that waits for
// tickets for good, because the record of its removed queue is older than the job.
func TestTicketsOfARemovedQueue(t *testing.T) {
	for name, advised := range map[string]bool{"it needs tickets": true, "it needs none": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			q, older := attemptQueue(2), attemptQueue(2)
			q.RequiresTicket, older.RequiresTicket = advised, !advised
			b.SetQueues(nil, older)
			j := job("a", step(1))
			j.Settings = q.Settings()
			b.AddJob(b.now, j, 9)
			asked := false
			for _, o := range b.Decide(b.now) {
				if o.Kind == cell.OrderAdvise {
					asked = true
					b.HandleAdvice(b.now, o, []rock.Ticket{{Worker: "w0", Ticket: "t"}}, time.Minute, nil)
				}
			}
			assert.Equal(t, asked, advised)
			starts := b.startTasks()
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].Start.Ticket == "t", advised)
		})
	}
}
