package queue

import (
	"container/heap"
	"time"

	rock "bramleyrock"
)

const (
	// minRunTimeWeight is the least weight of one run in the moving averages. The
	// first runs have more weight, so that a new queue adapts fast.
	minRunTimeWeight = 0.01
	// admissionDeviations is how many mean deviations the time reserved for a run
	// exceeds the mean run time, at admission.
	admissionDeviations = 3
	// waitMarginDivisor sets the margin that admission adds to a predicted wait:
	// the wait divided by it.
	waitMarginDivisor = 2
	// typicalDeviations is how many mean deviations a typical run may exceed the
	// mean run time.
	typicalDeviations = 6
)

// Queue is a bounded priority queue of the waiting requests of one pool. It
// implements [rock.Admitter] and is not safe for concurrent use.
type Queue struct {
	settings    Settings
	waiting     itemHeap
	byTicket    map[Ticket]*item
	urgentCount int
	lastTicket  Ticket
	runTime     time.Duration
	// deviation is the moving mean of the absolute deviations of run times from
	// runTime.
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

// SetCapacity sets the number of the pool's open slots in the zone and the number
// of the pool's requests that this entry has in flight.
func (q *Queue) SetCapacity(slots, inFlight int) { q.slots, q.inFlight = slots, inFlight }

// ObserveRun updates the statistics after a request that ran for the time took.
func (q *Queue) ObserveRun(now time.Time, took time.Duration) {
	q.recordEnd(now)
	q.runCount++
	weight := runTimeWeight(q.runCount)
	q.deviation += time.Duration(weight * float64((took-q.runTime).Abs()-q.deviation))
	q.runTime += time.Duration(weight * float64(took-q.runTime))
}

// ObserveTimeout updates the statistics after a request that was stopped by its
// deadline when it had run for the time took. It is assumed that it would
// otherwise have run for the mean run time more.
func (q *Queue) ObserveTimeout(now time.Time, took time.Duration) {
	q.ObserveRun(now, took+q.runTime)
}

// ObserveFailure updates the statistics after a request whose run time is not
// representative: only the slot that it frees is taken into account.
func (q *Queue) ObserveFailure(now time.Time) { q.recordEnd(now) }

// recordEnd updates the estimate of the interval between ends, if requests wait.
func (q *Queue) recordEnd(now time.Time) {
	if q.Len() > 0 {
		q.endInterval.observe(now)
	}
}

// runTimeWeight returns the weight of the n-th observation in a moving average.
func runTimeWeight(n int) float64 { return max(minRunTimeWeight, 1/float64(n+1)) }

// IsTypical reports whether a run time is within the usual range.
func (q *Queue) IsTypical(took time.Duration) bool {
	return took <= q.runTime+typicalDeviations*q.deviation
}

// MeanRunTime returns the moving mean of the run times.
func (q *Queue) MeanRunTime() time.Duration { return q.runTime }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting.Len() }

// PredictedWait returns the predicted wait of a new request of the class. It is
// zero if no request would be ahead and a slot is free.
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

// expectedInterval returns the interval between the ends of requests as computed
// from the mean run time and the number of slots in use.
func (q *Queue) expectedInterval() time.Duration {
	busy := q.slots
	if q.inFlight > 0 {
		busy = min(busy, q.inFlight)
	}
	return q.runTime / time.Duration(max(busy, 1))
}

// Admit implements [rock.Admitter]. It refuses a request if the queue is full or
// the predicted wait and run would end after the request's deadline. A request
// that need not wait is admitted whatever its deadline, since the run times of
// others say little about its own.
func (q *Queue) Admit(now time.Time, r rock.Request) error {
	refusal := rock.Fail("admit", "pool "+q.settings.Pool, rock.Overloaded, rock.NotRun)
	wait := q.PredictedWait(r.Class())
	if q.Len() >= q.settings.MaxWaiting {
		return refusal.RetryIn(wait).Becausef("queue holds %d requests, which is its limit", q.Len())
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

// Push adds a request without checking admission, and returns its ticket.
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

// Pop removes and returns the next request. It returns false if none waits.
func (q *Queue) Pop() (rock.Request, Ticket, bool) {
	r, t, ok := q.Peek()
	if ok {
		q.Remove(t)
	}
	return r, t, ok
}

// Peek returns the next request without removing it. It returns false if none
// waits.
func (q *Queue) Peek() (rock.Request, Ticket, bool) {
	if q.Len() == 0 {
		return rock.Request{}, 0, false
	}
	it := q.waiting.list[0]
	return it.request, it.ticket, true
}

// RemoveLate removes requests from the head of the queue as long as they have
// waited and have too little time left before their deadlines to be run, and
// returns their tickets. The time required is the mean run time less one mean
// deviation, but at least half the mean run time.
func (q *Queue) RemoveLate(now time.Time) []Ticket {
	if q.settings.AdmitAll {
		return nil
	}
	required := max(q.runTime-q.deviation, q.runTime/2)
	var late []Ticket
	for q.Len() > 0 {
		it := q.waiting.list[0]
		if !now.After(it.queuedAt) || it.request.Deadline().Sub(now) >= required {
			break
		}
		q.Remove(it.ticket)
		late = append(late, it.ticket)
	}
	return late
}

// Remove removes the request with that ticket. It returns false if the request
// does not wait in the queue.
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
