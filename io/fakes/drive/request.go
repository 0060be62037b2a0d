package drive

import (
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/retry"
	"bramleyrock/core/sched"
	"bramleyrock/core/trace"
)

func (d *drive) arrive(label int) {
	d.count++
	t := d.tallies[label]
	t.offered++
	t.offers[int(d.now/time.Second)]++
	e := d.route(d.randoms[label].IntN(len(d.entries)), d.pool(label))
	v := &visit{label: label, entry: e, era: d.generation, arrived: d.now, work: d.runTime(label)}
	v.request = rock.NewRequest(rock.RequestSpec{
		ID: fmt.Sprint(d.count), Pool: d.pool(label), Idempotent: true, Deadline: d.clock().Add(d.timeout),
		Payload: fmt.Appendf(nil, "%d", d.count),
	})
	if d.bad != nil && d.bad(d.count) {
		v.bad = true
	}
	v.history = retry.NewHistory(v.request)
	ticket, err := d.entries[e].Submit(d.clock(), v.request)
	d.note(v, trace.Event{Kind: trace.Arrived, Pool: v.request.Pool()})
	if err != nil {
		t.refused++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.NotRun, Reason: rock.ReasonOf(err)})
		return
	}
	d.wait(v, ticket)
	if !d.blind {
		d.at(d.now+d.timeout, func() { d.expire(v, rock.DeadlineExceeded) })
	}
	if d.cancelled != nil {
		if after, ok := d.cancelled(d.count); ok {
			d.at(d.now+after, func() { d.expire(v, rock.Cancelled) })
		}
	}
	d.dispatch(e, v.request.Pool())
}

// runTime returns how long the next request runs.
func (d *drive) runTime(label int) time.Duration {
	if d.even {
		return d.service
	}
	return time.Duration(d.randoms[label].ExpFloat64() * float64(d.service))
}

// note adds an event of the request to the log.
func (d *drive) note(v *visit, e trace.Event) {
	e.At, e.Entry, e.RequestID, e.Idempotent = d.clock(), fmt.Sprint("e", v.entry), v.request.ID(), true
	d.log.Add(e)
}

func (d *drive) wait(v *visit, ticket sched.Ticket) {
	v.ticket = ticket
	d.visits[v.entry][ticket] = v
}

// dispatch starts what an entry grants.
func (d *drive) dispatch(e int, pool string) {
	for _, ticket := range d.entries[e].RemoveLate(d.clock(), pool) {
		v := d.visits[e][ticket]
		delete(d.visits[e], ticket)
		v.ended = true
		d.tallies[v.label].expired++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.NotRun, Reason: rock.Overloaded})
	}
	for !d.crowded(e, pool) {
		g, ok := d.entries[e].GrantNext(d.clock(), pool)
		if !ok {
			return
		}
		v := d.visits[e][g.Ticket()]
		delete(d.visits[e], g.Ticket())
		d.begin(v, g)
	}
}

// begin sends a request to its target.
func (d *drive) begin(v *visit, g sched.Grant) {
	t := d.tallies[v.label]
	v.grant, v.running = g, true
	v.attempt++
	v.begun = d.now
	attempt := v.attempt
	end := func(err error) func() {
		return func() {
			if v.attempt == attempt && !v.ended && v.era == d.generation {
				d.finish(v, err)
			}
		}
	}
	host := g.Host().Name()
	if d.busy[host] >= d.slots {
		t.collisions++
		d.at(d.now+roundTrip, end(rock.Fail("start", host, rock.Overloaded, rock.NotRun)))
		return
	}
	t.starts[int(d.now/time.Second)]++
	if !v.waited {
		v.waited = true
		t.waits = append(t.waits, d.now-v.arrived)
		d.note(v, trace.Event{Kind: trace.Sent, TaskID: v.request.ID(), Host: host})
	}
	d.busy[host]++
	v.holds = true
	if v.bad || d.fails != nil && d.fails(host, d.now) {
		d.at(d.now+failTime, end(rock.Fail("run", host, rock.WorkFailed, rock.MayHaveRun)))
		return
	}
	d.at(d.now+v.work, end(nil))
}

// release gives the target's slot back.
func (d *drive) release(v *visit) {
	if v.holds {
		d.busy[v.grant.Host().Name()]--
		v.holds = false
	}
}

func (d *drive) finish(v *visit, err error) {
	t, entry := d.tallies[v.label], d.entries[v.entry]
	d.release(v)
	v.running = false
	entry.Finish(d.clock(), v.grant, v.work, err)
	defer d.dispatch(v.entry, v.request.Pool())
	if err == nil && d.now > v.arrived+d.timeout {
		v.ended = true
		t.failed++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.MayHaveRun, Reason: rock.DeadlineExceeded})
		return
	}
	if err == nil {
		v.ended = true
		t.useful++
		d.note(v, trace.Event{Kind: trace.Answered, Digest: trace.Digest(v.request.Payload())})
		if d.now >= d.from && d.now < d.to {
			t.work += v.work
		}
		return
	}
	if !sched.Refused(err) {
		t.failures++
		v.history.RecordHost(v.grant.Host().Name())
		v.history.RecordFailure(err)
		if entry.Retry(d.clock(), v.request, v.history, err) != nil {
			v.ended = true
			t.failed++
			d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.VerdictOf(err), Reason: rock.ReasonOf(err)})
			if t.failures > 20 {
				t.lostAfter++
			}
			return
		}
	}
	ticket, refused := entry.Requeue(d.clock(), v.request, v.history.TriedHosts())
	if refused != nil {
		v.ended = true
		t.refused++
		return
	}
	d.wait(v, ticket)
}

// expire ends a request whose caller gave up.
func (d *drive) expire(v *visit, reason rock.Reason) {
	if v.ended || v.era != d.generation {
		return
	}
	v.ended = true
	t, entry := d.tallies[v.label], d.entries[v.entry]
	if !v.running {
		entry.Withdraw(v.ticket)
		delete(d.visits[v.entry], v.ticket)
		t.expired++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.NotRun, Reason: reason})
		return
	}
	d.release(v)
	entry.Finish(d.clock(), v.grant, d.now-v.begun, rock.Fail("run", "", reason, rock.MayHaveRun))
	t.failed++
	d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.MayHaveRun, Reason: reason})
	d.dispatch(v.entry, v.request.Pool())
}
