package cell_test

import (
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
)

// answer is how a worker answers the orders of a kind.
type answer string

const (
	accepts answer = "accepted"
	busy    answer = "busy"
	// lateBusy is a refusal that comes after lateTime.
	lateBusy answer = "busy, late"
	unknown  answer = "unknown reason"
	silent   answer = "no answer"
)

// faultyAnswers holds the answers to the orders of each kind.
type faultyAnswers struct{ renewals, starts, stops answer }

// faultyWorker is a worker that answers some kinds of orders with refusals, or not at all.
type faultyWorker struct {
	id       string
	answers  faultyAnswers
	runs     map[string]rock.Run
	endsAt   map[string]time.Duration // the worker's clock at the ends of the runs
	stopped  map[string]int64
	ended    []rock.End
	lastEnd  int64
	leaseEnd time.Duration
}

// faultySite is a cell with workers that answer as they are told.
type faultySite struct {
	*harness
	workers map[string]*faultyWorker
	calls   []faultyCall
}

// faultyCall is what happens at a time.
type faultyCall struct {
	at time.Time
	do func()
}

const (
	// orderTime is how long an order, or the answer to it, takes to arrive.
	orderTime = 5 * time.Millisecond
	lateTime  = 400 * time.Millisecond
	// renewalWait is how long the answer to a renewal waits for the end of a run.
	renewalWait = 700 * time.Millisecond
	// faultyRun is how long the runs of other jobs than "lasting" last.
	faultyRun = 300 * time.Millisecond
)

func newFaultySite(t *testing.T) *faultySite {
	t.Helper()
	s := &faultySite{harness: newHarness(t, 2, nil), workers: map[string]*faultyWorker{}}
	for _, w := range s.registered {
		s.workers[w.ID] = &faultyWorker{
			id: w.ID, answers: faultyAnswers{accepts, accepts, accepts},
			runs: map[string]rock.Run{}, endsAt: map[string]time.Duration{}, stopped: map[string]int64{},
		}
		s.poll(s.workers[w.ID])
	}
	return s
}

func (s *faultySite) after(d time.Duration, do func()) {
	s.calls = append(s.calls, faultyCall{s.now.Add(d), do})
}

// exchange carries out an order, unless the worker answers it otherwise, and passes the
// refusal or the error on. The worker's answer may wait until done reports true.
func (s *faultySite) exchange(how answer, do func() rock.Refusal, done func() bool, handle func(rock.Refusal, error)) {
	s.after(orderTime, func() {
		switch how {
		case busy:
			s.after(orderTime, func() { handle(rock.RefusedBusy, nil) })
		case lateBusy:
			s.after(lateTime, func() { handle(rock.RefusedBusy, nil) })
		case unknown:
			s.after(orderTime, func() { handle(rock.RefusedOther, nil) })
		case silent:
			s.after(modelTimeout, func() { handle("", rock.Fail("order", "w", rock.OutcomeUnknown, rock.MayHaveRun)) })
		default:
			refusal := do()
			var wait func()
			wait = func() {
				if !done() {
					s.after(orderTime, wait)
					return
				}
				s.after(orderTime, func() { handle(refusal, nil) })
			}
			wait()
		}
	})
}

// poll renews the lease of a worker until the end.
func (s *faultySite) poll(w *faultyWorker) {
	sent := s.now
	_, order, _ := s.HoldOrder(s.now, w.id, renewalWait)
	var report rock.Report
	s.exchange(w.answers.renewals, func() rock.Refusal {
		w.leaseEnd = max(w.leaseEnd, order.LeaseUntil)
		w.ended = slices.DeleteFunc(w.ended, func(e rock.End) bool { return e.Number <= order.AckedUpTo })
		return rock.Accepted
	}, func() bool {
		if len(w.ended) == 0 && s.now.Before(sent.Add(order.Wait)) {
			return false
		}
		report = rock.Report{WorkerStartedAt: start, Clock: s.clock(), Running: slices.Collect(maps.Values(w.runs)), Ended: slices.Clone(w.ended)}
		return true
	}, func(refusal rock.Refusal, err error) {
		if err != nil {
			s.HandleUnanswered(s.now, sent, w.id, true, err)
		} else {
			report.Refusal = refusal
			s.HandleReport(s.now, sent, w.id, report)
		}
		s.poll(w)
	})
}

// send sends an order and handles its answer.
func (s *faultySite) send(o cell.Order) {
	w, sent := s.workers[o.Worker.ID], s.now
	how, do := w.answers.starts, func() rock.Refusal { return s.start(w, o.Start) }
	if o.Kind == cell.OrderStop {
		how, do = w.answers.stops, func() rock.Refusal {
			w.stopped[o.Stop.Task] = max(w.stopped[o.Stop.Task], o.Stop.Run)
			w.end(o.Stop.Task, rock.EndStopped)
			return rock.Accepted
		}
	}
	s.exchange(how, do, func() bool { return true }, func(refusal rock.Refusal, err error) {
		s.HandleReply(s.now, o, rock.Reply{Refusal: refusal, Clock: s.clock()}, err)
		if err != nil {
			s.HandleUnanswered(s.now, sent, w.id, true, err)
		}
	})
}

func (s *faultySite) start(w *faultyWorker, o rock.StartOrder) rock.Refusal {
	switch {
	case o.Run <= w.stopped[o.Task]:
		return rock.RefusedStaleRun
	case o.LeaseUntil < s.clock():
		return rock.RefusedLeaseExpired
	}
	w.leaseEnd = max(w.leaseEnd, o.LeaseUntil)
	w.runs[o.Task] = rock.Run{Task: o.Task, Run: o.Run, Percent: 100}
	w.endsAt[o.Task] = s.clock() + faultyRun
	if strings.HasPrefix(o.Task, "lasting") {
		w.endsAt[o.Task] = math.MaxInt64
	}
	return rock.Accepted
}

// end ends a run, if there is one.
func (w *faultyWorker) end(task string, reason rock.EndReason) {
	r, ok := w.runs[task]
	if !ok {
		return
	}
	delete(w.runs, task)
	w.stopped[task] = max(w.stopped[task], r.Run)
	w.lastEnd++
	w.ended = append(w.ended, rock.End{Number: w.lastEnd, Task: task, Run: r.Run, Reason: reason})
}

// play passes a time.
func (s *faultySite) play(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); s.advance(orderTime) {
		for _, w := range s.workers {
			for task := range w.runs {
				switch {
				case s.clock() >= w.leaseEnd:
					w.end(task, rock.EndLeaseExpired)
				case s.clock() >= w.endsAt[task]:
					w.end(task, rock.EndDone)
				}
			}
		}
		due := s.calls
		s.calls = nil
		for _, c := range due {
			if c.at.After(s.now) {
				s.calls = append(s.calls, c)
			} else {
				c.do()
			}
		}
		for _, o := range s.Decide(s.now) {
			s.send(o)
		}
		if s.FlushDue(s.now) {
			s.flush()
		}
	}
}
