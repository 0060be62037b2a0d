package queue

import (
	"container/heap"
	"time"

	rock "bramleyrock"
)

const (
	// minRunTimeWeight is the least weight of one observation in a moving average;
	// earlier observations have more, so that a new queue learns fast.
	minRunTimeWeight = 0.01
	// admissionDeviations is how many mean deviations above the mean run time a request
	// needs to be left when it starts.
	admissionDeviations = 3
	// waitMarginDivisor is the part of the predicted wait by which the real one may be
	// longer, as a divisor.
	waitMarginDivisor = 2
	// typicalDeviations is how many mean deviations above the mean run time a
	// run is unusual.
	typicalDeviations = 6
)

// Queue is the waiting requests of one pool. It implements [rock.Admitter]
// and is not safe for concurrent use.
type Queue struct {
	settings    Settings
	waiting     itemHeap
	byTicket    map[Ticket]*item
	urgentCount int
	lastTicket  Ticket
	runTime     time.Duration
	// deviation is the moving mean distance of run times from runTime.
	deviation   time.Duration
	runCount    int
	endInterval intervalEstimator
	slots       int
	inFlight    int
}

// New returns an empty queue.
func New(s Settings) *Queue {
	if s.MaxWaiting <= 0 {
		s.MaxWaiting = defaultMaxWaiting
	}
	if s.InitialRunTime <= 0 {
		s.InitialRunTime = defaultInitialRunTime
	}
	return &Queue{settings: s, waiting: itemHeap{fifo: s.FIFO}, byTicket: map[Ticket]*item{}, runTime: s.InitialRunTime}
}

// SetCapacity tells the queue the pool's open slots in the zone and the number of
// its requests in flight from this entry.
func (q *Queue) SetCapacity(slots, inFlight int) { q.slots, q.inFlight = slots, inFlight }

// ObserveRun tells the queue that a request ended, after it ran that long.
func (q *Queue) ObserveRun(now time.Time, took time.Duration) {
	q.recordEnd(now)
	q.runCount++
	w := runTimeWeight(q.runCount)
	q.deviation += time.Duration(w * float64((took-q.runTime).Abs()-q.deviation))
	q.runTime += time.Duration(w * float64(took-q.runTime))
}

// ObserveTimeout tells the queue that a request ended because it was cut off after
// it ran that long. Uncut, it would have run for about the mean run time more.
func (q *Queue) ObserveTimeout(now time.Time, took time.Duration) {
	q.ObserveRun(now, took+q.runTime)
}

// ObserveFailure tells the queue that a request ended without a run time that
// tells anything.
func (q *Queue) ObserveFailure(now time.Time) { q.recordEnd(now) }

// recordEnd notes that a slot became free.
func (q *Queue) recordEnd(now time.Time) {
	if q.Len() > 0 {
		q.endInterval.observe(now)
	}
}

// runTimeWeight returns the weight of the n-th observation in a moving average.
func runTimeWeight(n int) float64 { return max(minRunTimeWeight, 1/float64(n+1)) }

// IsTypical reports whether a run of that length is nothing unusual.
func (q *Queue) IsTypical(took time.Duration) bool {
	return took <= q.runTime+typicalDeviations*q.deviation
}

// MeanRunTime returns the mean run time.
func (q *Queue) MeanRunTime() time.Duration { return q.runTime }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting.Len() }

// PredictedWait returns the predicted wait of a new request of the class.
func (q *Queue) PredictedWait(class rock.Class) time.Duration {
	ahead := q.Len()
	if class == rock.Urgent && !q.settings.FIFO {
		ahead = q.urgentCount
	}
	if ahead == 0 && q.inFlight < q.slots {
		return 0
	}
	interval := q.endInterval.interval
	if q.Len() == 0 {
		interval = q.expectedInterval()
	}
	return time.Duration(ahead+1) * interval
}

// expectedInterval returns the interval between the ends of requests that the run
// times let expect.
func (q *Queue) expectedInterval() time.Duration {
	width := q.slots
	if q.inFlight > 0 {
		width = min(width, q.inFlight)
	}
	return q.runTime / time.Duration(max(width, 1))
}

// Admit implements [rock.Admitter]. A request that need not wait is admitted
// whatever its deadline, since the run times of others say little about its
// own.
func (q *Queue) Admit(now time.Time, r rock.Request) error {
	refusal := rock.Fail("admit", "pool "+q.settings.Pool, rock.Overloaded, rock.NotRun)
	wait := q.PredictedWait(r.Class())
	if q.Len() >= q.settings.MaxWaiting {
		return refusal.RetryIn(wait).Becausef("queue holds %d requests, its limit", q.Len())
	}
	if q.settings.AdmitAll {
		return nil
	}
	left := r.Deadline().Sub(now)
	if wait == 0 && left > 0 {
		return nil
	}
	run := q.runTime + admissionDeviations*q.deviation
	if need := wait + wait/waitMarginDivisor + run; need > left {
		return refusal.RetryIn(need-max(left, 0)).Becausef("predicted wait %v and run %v do not fit into the remaining %v", wait.Round(time.Millisecond), run.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

// Push adds a request, which the caller has admitted, and returns its ticket.
func (q *Queue) Push(now time.Time, r rock.Request) Ticket {
	if q.Len() == 0 {
		q.endInterval.reset(now, q.expectedInterval())
	}
	q.lastTicket++
	it := &item{request: r, ticket: q.lastTicket, queuedAt: now}
	q.byTicket[it.ticket] = it
	heap.Push(&q.waiting, it)
	if it.request.Class() == rock.Urgent {
		q.urgentCount++
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

// RemoveLate takes out the requests that go next, have waited, and have too little
// time left to be run, and returns their tickets.
func (q *Queue) RemoveLate(now time.Time) []Ticket {
	if q.settings.AdmitAll {
		return nil
	}
	least := max(q.runTime-q.deviation, q.runTime/2)
	var late []Ticket
	for q.Len() > 0 {
		it := q.waiting.list[0]
		if !now.After(it.queuedAt) || it.request.Deadline().Sub(now) >= least {
			break
		}
		q.Remove(it.ticket)
		late = append(late, it.ticket)
	}
	return late
}

// Remove takes the request with that ticket out and reports whether it waited.
func (q *Queue) Remove(t Ticket) bool {
	it, ok := q.byTicket[t]
	if !ok {
		return false
	}
	heap.Remove(&q.waiting, it.index)
	delete(q.byTicket, t)
	if it.request.Class() == rock.Urgent {
		q.urgentCount--
	}
	return true
}
