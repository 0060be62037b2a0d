package queue

import (
	"container/heap"
	"time"

	rock "bramleyrock"
)

// smoothing is the weight of one observed run time in the moving average.
const smoothing = 0.05

// Queue is the waiting requests of one pool. It implements [rock.Admitter]
// and is not safe for concurrent use.
type Queue struct {
	settings Settings
	waiting  items
	tickets  map[Ticket]*item
	urgent   int
	arrivals Ticket
	runTime  time.Duration
	slots    int
	inFlight int
}

// New returns an empty queue.
func New(s Settings) *Queue {
	if s.Limit <= 0 {
		s.Limit = defaultLimit
	}
	if s.RunTime <= 0 {
		s.RunTime = defaultRunTime
	}
	return &Queue{settings: s, waiting: items{fifo: s.FIFO}, tickets: map[Ticket]*item{}, runTime: s.RunTime}
}

// Adjust tells the queue the pool's open slots in the zone and the number of
// its requests in flight from this entry.
func (q *Queue) Adjust(slots, inFlight int) { q.slots, q.inFlight = slots, inFlight }

// Observe tells the queue how long a request ran.
func (q *Queue) Observe(took time.Duration) {
	q.runTime += time.Duration(smoothing * float64(took-q.runTime))
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting.Len() }

// Wait returns the predicted wait of a new request of the class.
func (q *Queue) Wait(class rock.Class) time.Duration {
	ahead := q.Len()
	if class == rock.Urgent && !q.settings.FIFO {
		ahead = q.urgent
	}
	if ahead == 0 && q.inFlight < q.slots {
		return 0
	}
	width := q.slots
	if q.Len() > 0 && q.inFlight > 0 {
		width = min(width, q.inFlight)
	}
	return time.Duration(float64(ahead+1) * float64(q.runTime) / float64(max(width, 1)))
}

// Admit implements [rock.Admitter].
func (q *Queue) Admit(now time.Time, r rock.Request) error {
	refusal := rock.Fail("admit", "pool "+q.settings.Pool, rock.Overloaded, rock.NotRun)
	wait := q.Wait(r.Class())
	if q.Len() >= q.settings.Limit {
		return refusal.RetryIn(wait).Becausef("queue holds %d requests, its limit", q.Len())
	}
	if q.settings.AdmitAll {
		return nil
	}
	left := r.Deadline().Sub(now)
	if need := wait + q.runTime; need > left {
		return refusal.RetryIn(need-max(left, 0)).Becausef("predicted wait %v and run %v do not fit into the remaining %v", wait.Round(time.Millisecond), q.runTime.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

// Push adds a request, which the caller has admitted, and returns its ticket.
func (q *Queue) Push(r rock.Request) Ticket {
	q.arrivals++
	it := &item{request: r, ticket: q.arrivals}
	q.tickets[it.ticket] = it
	heap.Push(&q.waiting, it)
	if r.Class() == rock.Urgent {
		q.urgent++
	}
	return it.ticket
}

// Pop removes the request that goes next. It returns false if none waits.
func (q *Queue) Pop() (rock.Request, Ticket, bool) {
	r, t, ok := q.Peek()
	if ok {
		q.Remove(t)
	}
	return r, t, ok
}

// Peek returns the request that goes next without removing it.
func (q *Queue) Peek() (rock.Request, Ticket, bool) {
	if q.Len() == 0 {
		return rock.Request{}, 0, false
	}
	it := q.waiting.list[0]
	return it.request, it.ticket, true
}

// Remove takes the request with that ticket out and reports whether it waited.
func (q *Queue) Remove(t Ticket) bool {
	it, ok := q.tickets[t]
	if !ok {
		return false
	}
	heap.Remove(&q.waiting, it.index)
	delete(q.tickets, t)
	if it.request.Class() == rock.Urgent {
		q.urgent--
	}
	return true
}
