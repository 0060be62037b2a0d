package cell_test

import (
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// modelRun is a run on a worker of the model.
type modelRun struct {
	number int64
	alive  bool
	// working is true once all runs of its gang are present.
	working bool
	need    rock.Resources
}

// modelWorker is a worker of the model. Its clock runs at its own rate.
type modelWorker struct {
	id        string
	rate      float64
	startedAt time.Time
	silent    bool
	// left is true once the worker's host was taken down, and replaced is true if
	// another worker answers at its address.
	left     bool
	replaced bool
	// busy is true while the worker answers with 503.
	busy bool
	// born is the start of the worker by the time of day of its host.
	born time.Time
	// label is the worker's label, or empty.
	label string
	// orderRefusal and renewalRefusal are why the worker refuses all starts and stops, and
	// all renewals, or empty. It answers starts and stops with an error while erring is
	// true, and carries them out without an answer while mute is true. Each of its runs
	// fails soon while failing is true.
	orderRefusal   rock.Refusal
	renewalRefusal rock.Refusal
	erring         bool
	mute           bool
	failing        bool
	// lasting is true while its silence or refusals outlast the time of faults.
	lasting  bool
	capacity rock.Resources
	fence    uint64
	leaseEnd time.Duration
	running  map[string]*modelRun
	stopped  map[string]int64
	ended    []rock.End
	endedAt  map[int64]time.Time
	// restartedAfter holds the numbers of the ends whose task was started again.
	restartedAfter map[int64]bool
	lastEnd        int64
	// leaseExpiredAt is when the lease last expired. An end does not count as
	// acknowledged if the lease expired between the end and its acknowledgement.
	leaseExpiredAt time.Time
}

func (w *modelWorker) clock(now time.Time) time.Duration {
	return time.Duration(w.rate * float64(now.Sub(w.startedAt)))
}

func (m *model) findWorker(id string) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// newWorker returns a worker that starts now.
func (m *model) newWorker(id string) *modelWorker {
	return &modelWorker{
		id: id, startedAt: m.now, born: m.now, rate: 0.98 + 0.02*m.random.Float64(), capacity: rock.Resources{MilliCores: 3000, MemoryMB: 8000},
		endedAt: map[int64]time.Time{}, restartedAfter: map[int64]bool{}, running: map[string]*modelRun{}, stopped: map[string]int64{},
	}
}

// reachable reports whether the worker answers.
func (w *modelWorker) reachable() bool { return !w.silent && !w.left }

// handleStart carries out a start order on a worker.
func (m *model) handleStart(w *modelWorker, s rock.StartOrder) rock.Reply {
	p := rock.Reply{Clock: w.clock(m.now)}
	if s.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = s.Fence
	need := m.need(s.Task)
	switch r := w.running[s.Task]; {
	case w.busy:
		p.Refusal = rock.RefusedBusy
	case w.orderRefusal != "":
		p.Refusal = w.orderRefusal
	case r != nil && r.number == s.Run:
		return p
	case s.Run <= w.stopped[s.Task]:
		p.Refusal = rock.RefusedStaleRun
	case s.LeaseUntil < w.clock(m.now):
		p.Refusal = rock.RefusedLeaseExpired
	case !m.acceptsTicket(w, s):
		p.Refusal = rock.RefusedTicket
	case !w.capacity.Sub(w.used()).CanFit(need):
		p.Refusal = rock.RefusedCapacity
	default:
		m.startRun(w, s)
	}
	return p
}

// startRun starts a run, and fails the test if that is not allowed.
func (m *model) startRun(w *modelWorker, s rock.StartOrder) {
	m.log("begin %s run %d on %s fence %d", s.Task, s.Run, w.id, s.Fence)
	m.starts++
	for _, o := range m.workers {
		if o.running[s.Task] != nil {
			m.fail("TWICE: %s run %d started on %s while it runs on %s", s.Task, s.Run, w.id, o.id)
		}
	}
	if m.acked[s.Task] {
		m.fail("TWICE: %s run %d started on %s after its end was noted", s.Task, s.Run, w.id)
	}
	for _, o := range m.workers {
		for _, e := range o.ended {
			if e.Task == s.Task && e.Reason == rock.EndDone {
				o.restartedAfter[e.Number] = true
			}
		}
	}
	if st := m.step(s.Task); m.failed[s.Task] >= m.maxAttempts(s.Task) && (st == nil || !st.Persistent) {
		m.fail("BUDGET: %s run %d started on %s after %d failures", s.Task, s.Run, w.id, m.failed[s.Task])
	}
	n, err := works.ParseTaskName(s.Task)
	assert.NilError(m.t, err)
	if j, ok := m.rows.jobs[n.Job]; ok && n.Step == 1 {
		for i := range j.Spec.Steps[0].Count {
			if before := (works.TaskName{Job: n.Job, Index: i}).String(); !m.done[before] {
				m.fail("ORDER: %s started before %s was done", s.Task, before)
			}
		}
	}
	r := &modelRun{number: s.Run, alive: true, need: m.need(s.Task)}
	if m.hasKinds() {
		m.fleet.waits.idleSince[s.Task] = m.now // the run may end before the next check
	}
	w.running[s.Task] = r
	w.extendLease(m, s.LeaseUntil)
	m.checkPlace(w, s.Task)
	if st := m.step(s.Task); st != nil && st.Gang {
		m.joinGang(w, s.Task, r)
		return
	}
	runTime, how := m.runTime(s.Task)
	if w.failing {
		runTime, how = 50*time.Millisecond, rock.EndFailed
	}
	if runTime == 0 {
		return
	}
	incarnation := w.startedAt
	m.after(runTime, func() {
		if r.alive && w.startedAt.Equal(incarnation) {
			m.endRun(w, s.Task, how)
		}
	})
}

// runTime returns how long a run takes and how it ends, or 0 if it does not end by
// itself.
func (m *model) runTime(task string) (time.Duration, rock.EndReason) {
	if st := m.step(task); st != nil && st.Persistent {
		if m.random.IntN(3) > 0 {
			return 0, ""
		}
		return time.Duration(m.random.Int64N(int64(20 * time.Second))), rock.EndFailed
	}
	how := rock.EndDone
	d := time.Duration(200+m.random.IntN(1500)) * time.Millisecond
	if m.random.IntN(12) == 0 {
		how = rock.EndFailed
	}
	return d, how
}

// step returns the step of a task.
func (m *model) step(task string) *works.Step {
	n, err := works.ParseTaskName(task)
	assert.NilError(m.t, err)
	j, ok := m.specs[n.Job]
	if !ok {
		return nil
	}
	return &j.Spec.Steps[n.Step]
}

// need returns the resources that a task needs.
func (m *model) need(task string) rock.Resources {
	if st := m.step(task); st != nil {
		return st.Need
	}
	return rock.Resources{}
}

// used returns the resources that the runs on the worker need.
func (w *modelWorker) used() rock.Resources {
	var sum rock.Resources
	for _, r := range w.running {
		sum = sum.Add(r.need)
	}
	return sum
}

// impaired reports whether the worker does not carry out or answer all orders.
func (w *modelWorker) impaired() bool {
	return w.orderRefusal != "" || w.renewalRefusal != "" || w.erring || w.mute
}

// extendLease extends the worker's lease, at whose end its runs end.
func (w *modelWorker) extendLease(m *model, until time.Duration) {
	until = min(until, w.clock(m.now)+modelMaxLease)
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	incarnation := w.startedAt
	left := time.Duration(float64(until-w.clock(m.now)) / w.rate)
	m.after(left+time.Millisecond, func() {
		if !w.startedAt.Equal(incarnation) || w.clock(m.now) < w.leaseEnd {
			return
		}
		w.leaseExpiredAt = m.now
		for _, task := range slices.Sorted(maps.Keys(w.running)) {
			if w.running[task] != nil { // it ends with the first run of its gang
				m.endRun(w, task, rock.EndLeaseExpired)
			}
		}
	})
}

func (m *model) endRun(w *modelWorker, task string, how rock.EndReason) {
	r := w.running[task]
	m.log("end %s run %d on %s %s", task, r.number, w.id, how)
	r.alive = false
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], r.number)
	w.lastEnd++
	w.endedAt[w.lastEnd] = m.now
	w.ended = append(w.ended, rock.End{Number: w.lastEnd, Task: task, Run: r.number, Reason: how})
	if how == rock.EndDone {
		m.done[task] = true
	}
	if how == rock.EndFailed {
		m.recordFailure(task, r.number)
	}
	m.breakGang(task, r.number, how)
}

// checkPlace fails the test if the worker may not run the task.
func (m *model) checkPlace(w *modelWorker, task string) {
	st := m.step(task)
	if st == nil {
		return
	}
	n, err := works.ParseTaskName(task)
	assert.NilError(m.t, err)
	if st.Label != "" && w.label != st.Label {
		m.fail("ROUTE: %s needs label %s and runs on %s", task, st.Label, w.id)
	}
	if st.MaxPerWorker > 0 && w.countStepRuns(n.Job, n.Step) > st.MaxPerWorker {
		m.fail("ROUTE: %s is one of too many on %s", task, w.id)
	}
}

func (m *model) stopRun(w *modelWorker, s rock.StopOrder) rock.Reply {
	p := rock.Reply{Clock: w.clock(m.now)}
	if s.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = s.Fence
	if w.busy {
		p.Refusal = rock.RefusedBusy
		return p
	}
	if w.orderRefusal != "" {
		p.Refusal = w.orderRefusal
		return p
	}
	w.stopped[s.Task] = max(w.stopped[s.Task], s.Run)
	if r := w.running[s.Task]; r != nil && r.number <= s.Run {
		m.endRun(w, s.Task, rock.EndStopped)
	}
	return p
}

// renew carries out a renewal on a worker.
func (m *model) renew(w *modelWorker, h rock.RenewOrder) rock.Report {
	p := rock.Report{Clock: w.clock(m.now), WorkerStartedAt: w.born}
	if h.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = h.Fence
	if w.busy {
		p.Refusal = rock.RefusedBusy
		return p
	}
	if w.renewalRefusal != "" {
		p.Refusal = w.renewalRefusal
		return p
	}
	w.extendLease(m, h.LeaseUntil)
	for len(w.ended) > 0 && w.ended[0].Number <= h.AckedUpTo {
		e := w.ended[0]
		m.log("noted %s run %d on %s by fence %d", e.Task, e.Run, w.id, h.Fence)
		if e.Reason == rock.EndDone && !w.leaseExpiredAt.After(w.endedAt[e.Number]) {
			m.ackDone(e.Task)
			if w.restartedAfter[e.Number] {
				m.fail("TWICE: %s run %d on %s was noted as done and had been started again", e.Task, e.Run, w.id)
			}
		}
		if e.Reason == rock.EndFailed {
			m.failed[e.Task]++
		}
		w.ended = w.ended[1:]
	}
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		r := w.running[task]
		p.Running = append(p.Running, rock.Run{Task: task, Run: r.number, Percent: 100})
	}
	p.Ended = append(p.Ended, w.ended...)
	return p
}

// ackDone records that the end of a task as done is acknowledged. It stands for all
// tasks of a gang.
func (m *model) ackDone(task string) {
	m.acked[task] = true
	st := m.step(task)
	if st == nil || !st.Gang {
		return
	}
	n, err := works.ParseTaskName(task)
	assert.NilError(m.t, err)
	for i := range st.Count {
		n.Index = i
		m.acked[n.String()] = true
	}
}

// restart replaces a worker by a new incarnation with the same ID.
func (m *model) restart(w *modelWorker) {
	m.log("restart of %s", w.id)
	for task, r := range w.running {
		r.alive = false
		delete(w.running, task)
	}
	w.born = m.now
	w.startedAt, w.fence, w.leaseEnd, w.ended, w.lastEnd = m.now, 0, 0, nil, 0
	w.stopped, w.endedAt, w.restartedAfter = map[string]int64{}, map[int64]time.Time{}, map[int64]bool{}
}
