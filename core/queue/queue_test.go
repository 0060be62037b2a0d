package queue_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/queue"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id string, class rock.Class, timeout time.Duration) rock.Request {
	return rock.NewRequest(rock.RequestSpec{ID: id, Pool: "tins", Class: class, Deadline: start.Add(timeout)})
}

func TestOrder(t *testing.T) {
	q := queue.New(queue.Settings{})
	for i, r := range []rock.Request{
		request("late", rock.Normal, 9*time.Second),
		request("soon", rock.Normal, 2*time.Second),
		request("urgent late", rock.Urgent, 8*time.Second),
		request("urgent soon", rock.Urgent, 3*time.Second),
		request("soon too", rock.Normal, 2*time.Second),
		request("withdrawn", rock.Urgent, time.Second),
	} {
		ticket := q.Push(start, r)
		if i == 5 {
			assert.Assert(t, q.Remove(ticket))
			assert.Assert(t, !q.Remove(ticket))
		}
	}
	var order []string
	for {
		r, _, ok := q.Pop()
		if !ok {
			break
		}
		order = append(order, r.ID())
	}
	assert.DeepEqual(t, order, []string{"urgent soon", "urgent late", "soon", "soon too", "late"})
}

func TestAdmit(t *testing.T) {
	// Each run takes 100 ms on one of 2 slots, and both slots are in use.
	cases := map[string]struct {
		waiting int
		class   rock.Class
		timeout time.Duration
		want    rock.Reason
	}{
		"fits":                             {2, rock.Normal, time.Second, ""},
		"does not fit":                     {20, rock.Normal, time.Second, rock.Overloaded},
		"urgent goes ahead of the backlog": {20, rock.Urgent, time.Second, ""},
		"full queue":                       {40, rock.Urgent, time.Minute, rock.Overloaded},
		"deadline shorter than a run":      {0, rock.Urgent, 50 * time.Millisecond, rock.Overloaded},
		"deadline far beyond the backlog":  {20, rock.Normal, time.Minute, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := queue.New(queue.Settings{Pool: "tins", MaxWaiting: 40, InitialRunTime: 100 * time.Millisecond})
			q.SetCapacity(2, 2)
			for i := range c.waiting {
				q.Push(start, request(fmt.Sprint(i), rock.Normal, time.Minute))
			}
			err := q.Admit(start, request("new", c.class, c.timeout))
			assert.Equal(t, rock.ReasonOf(err), c.want)
			if err != nil {
				assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
			}
		})
	}
}

func TestRemoveLate(t *testing.T) {
	q := queue.New(queue.Settings{InitialRunTime: 100 * time.Millisecond})
	late := q.Push(start, request("late", rock.Normal, time.Second))
	q.Push(start, request("later", rock.Normal, 2*time.Second))
	assert.Equal(t, len(q.RemoveLate(start.Add(800*time.Millisecond))), 0)
	assert.DeepEqual(t, q.RemoveLate(start.Add(950*time.Millisecond)), []queue.Ticket{late})
	assert.Equal(t, q.Len(), 1)
	now := start.Add(1950 * time.Millisecond)
	q.Remove(q.Push(now, request("new", rock.Urgent, time.Second)))
	q.Push(now, request("short", rock.Urgent, 1960*time.Millisecond))
	assert.Equal(t, len(q.RemoveLate(now)), 0, "a request that has not waited yet is not removed")
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q := queue.New(queue.Settings{MaxWaiting: 2 * n})
			q.SetCapacity(8*n, 8*n)
			for i := range n {
				q.Push(start, request(fmt.Sprint(i), rock.Normal, time.Minute))
			}
			r := request("new", rock.Normal, time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				if err := q.Admit(start, r); err != nil {
					b.Fatal(err)
				}
				q.Remove(q.Push(start, r))
			}
		})
	}
}
