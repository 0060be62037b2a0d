package cell_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// The model simulates a cell, its workers, its rows and the calls between them in
// virtual time. A seed determines the faults: lost answers, orders that are carried
// out late, workers that stop answering or restart, and owners that are killed. The
// model checks on the workers that no task runs twice at a time, before the steps
// that it depends on, after it was done, or after it has used up its attempts.

const (
	modelLease    = 4 * time.Second
	modelMaxLease = 6 * time.Second
	modelLength   = 60 * time.Second
	modelJobs     = 40
)

// event is a function that is called at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// modelRun is a run on a worker of the model.
type modelRun struct {
	number int64
	alive  bool
}

// modelWorker is a worker of the model. Its clock runs at its own rate.
type modelWorker struct {
	id        string
	rate      float64
	startedAt time.Time
	silent    bool
	fence     uint64
	leaseEnd  time.Duration
	running   map[string]*modelRun
	stopped   map[string]int64
	ended     []rock.End
	endedAt   map[int64]time.Time
	// restartedAfter holds the numbers of the ends whose task was started again.
	restartedAfter map[int64]bool
	lastEnd        int64
	// leaseExpiredAt is when the lease last expired. An end does not count as
	// acknowledged if the lease expired between the end and its acknowledgement.
	leaseExpiredAt time.Time
}

// modelRows holds the stored rows of the cell.
type modelRows struct {
	jobs     map[string]works.Job
	versions map[string]uint64
	progress map[string]works.Progress
	outcomes map[string]works.State
	workers  map[string]time.Time
}

// model is the state of the simulation.
type model struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Time
	queue    events
	workers  []*modelWorker
	rows     modelRows
	version  uint64
	owner    *modelOwner
	done     map[string]bool
	acked    map[string]bool
	failed   map[string]int
	starts   int
	logLines []string
}

// modelOwner is an owner of the cell, present or former.
type modelOwner struct {
	m          *model
	core       *cell.Cell
	alive      bool
	committing bool
	// incarnations holds the start time of each worker to which a connection is
	// open.
	incarnations map[string]time.Time
}

// log records a line that is printed if the test fails.
func (m *model) log(format string, args ...any) {
	m.logLines = append(m.logLines, fmt.Sprintf("%v ", m.now.Sub(start))+fmt.Sprintf(format, args...))
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now.Add(d), do}) }

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	subject, _, _ := strings.Cut(strings.TrimLeft(fmt.Sprintf(format, args...), "ABCDEFGHIJKLMNOPQRSTUVWXYZ: "), " ")
	for _, line := range m.logLines {
		if strings.Contains(line, subject) || strings.Contains(line, "take") || strings.Contains(line, "restart") {
			m.t.Log(line)
		}
	}
	m.t.Fatalf("seed %d at %v: %s", m.seed, m.now.Sub(start), fmt.Sprintf(format, args...))
}

func (w *modelWorker) clock(now time.Time) time.Duration {
	return time.Duration(w.rate * float64(now.Sub(w.startedAt)))
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: start,
		rows: modelRows{map[string]works.Job{}, map[string]uint64{}, map[string]works.Progress{}, map[string]works.State{}, map[string]time.Time{}},
		done: map[string]bool{}, acked: map[string]bool{}, failed: map[string]int{},
	}
	for i := range 5 {
		m.workers = append(m.workers, &modelWorker{id: fmt.Sprint("w", i), startedAt: start, rate: 0.98 + 0.02*m.random.Float64(), endedAt: map[int64]time.Time{}, restartedAfter: map[int64]bool{}, running: map[string]*modelRun{}, stopped: map[string]int64{}})
	}
	for i := range modelJobs {
		m.after(time.Duration(m.random.Int64N(int64(modelLength/2))), func() { m.submit(fmt.Sprintf("%016x", i)) })
	}
	return m
}

func (m *model) submit(id string) {
	m.version++
	j := job(id, step(1+m.random.IntN(3)), step(1+m.random.IntN(2), 0))
	j.Accepted = m.now
	m.rows.jobs[id], m.rows.versions[id] = j, m.version
	if m.owner != nil {
		m.owner.core.AddJob(m.now, j, m.version)
	}
}

// registered returns the workers as the platform lists them.
func (m *model) registered() []rock.Worker {
	var list []rock.Worker
	for _, w := range m.workers {
		list = append(list, rock.Worker{
			ID: w.id, Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 3000, MemoryMB: 8000},
			StartedAt: w.startedAt, Clock: w.clock(m.now), ReadAt: m.now,
		})
	}
	return list
}

// takeOver creates a new owner from the stored rows.
func (m *model) takeOver() {
	m.version++
	former := map[string]time.Time{}
	for id, until := range m.rows.workers {
		former[id] = until
	}
	o := &modelOwner{m: m, alive: true, incarnations: map[string]time.Time{}, core: cell.New(cell.Settings{
		Pool: "tins", Fence: m.version, LeaseDuration: modelLease, MaxLeaseDuration: modelMaxLease, MaxStopDuration: 400 * time.Millisecond,
		FormerLeasesEndAt: m.now.Add(modelLease*103/100 + time.Second), FormerWorkers: former,
	})}
	o.core.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond}})
	for id, j := range m.rows.jobs {
		o.core.AddJob(m.now, j, m.rows.versions[id])
		if p, ok := m.rows.progress[id]; ok {
			o.core.AddProgress(m.now, id, p)
		}
	}
	o.core.SetWorkers(m.now, m.registered())
	m.log("take fence %d former %v progress %v", m.version, former, m.rows.progress)
	m.owner = o
	for _, w := range m.workers {
		o.poll(w)
	}
	o.decideLoop()
}

// decideLoop calls Decide and sends the orders every 10 ms.
func (o *modelOwner) decideLoop() {
	if !o.alive {
		return
	}
	m := o.m
	for _, n := range o.core.TakeEvents() {
		m.log("%v", n)
	}
	o.core.SetWorkers(m.now, m.registered())
	for _, d := range o.core.Decide(m.now, m.now) {
		o.sendOrder(d)
	}
	if !o.committing && o.core.FlushDue(m.now) {
		o.commit()
	}
	m.after(10*time.Millisecond, o.decideLoop)
}

// commit writes a batch after a delay. The write may fail, or its answer be lost.
func (o *modelOwner) commit() {
	m := o.m
	b := o.core.Flush(m.now)
	o.committing = true
	m.after(m.delay(), func() {
		if !o.alive {
			return // the write is conditional on the owner
		}
		applied := m.random.IntN(20) > 0
		if applied {
			m.write(b)
		}
		m.after(m.delay(), func() {
			o.committing = false
			if applied && m.random.IntN(20) > 0 {
				o.core.Flushed(m.now, b)
			} else {
				o.core.FlushFailed(m.now, b)
			}
		})
	})
}

func (m *model) write(b *cell.Batch) {
	m.version++
	for _, w := range b.Workers {
		m.rows.workers[w.ID] = w.LeaseEnd
	}
	for _, id := range b.DeletedWorkers {
		delete(m.rows.workers, id)
	}
	for _, w := range b.JobWrites {
		if w.Ended {
			if _, ok := m.rows.jobs[w.ID]; !ok && m.rows.outcomes[w.ID] != w.Outcome.State {
				m.fail("job %s ended as %s after %s", w.ID, w.Outcome.State, m.rows.outcomes[w.ID])
			}
			m.rows.outcomes[w.ID] = w.Outcome.State
			delete(m.rows.jobs, w.ID)
			delete(m.rows.progress, w.ID)
		} else {
			m.rows.progress[w.ID] = w.Progress
		}
	}
}

// delay returns a random network delay.
func (m *model) delay() time.Duration { return time.Duration(1+m.random.IntN(8)) * time.Millisecond }

// modelTimeout is the timeout of orders.
const modelTimeout = 900 * time.Millisecond

// sendOrder sends an order, which may be carried out late. Its answer may be lost.
func (o *modelOwner) sendOrder(d cell.Order) {
	m, sent := o.m, o.m.now
	w := m.findWorker(d.Worker.ID)
	timeOut := func() {
		m.after(modelTimeout, func() {
			if o.alive {
				o.core.HandleReply(m.now, d, rock.Reply{}, rock.Fail("order", d.Worker.ID, rock.OutcomeUnknown, rock.MayHaveRun))
				o.core.HandleUnanswered(m.now, sent, d.Worker.ID, true, fmt.Errorf("no answer"))
			}
		})
	}
	run := func() rock.Reply {
		if d.Kind == cell.OrderStop {
			return m.stopRun(w, d.Stop)
		}
		return m.handleStart(w, d.Start)
	}
	switch {
	case m.random.IntN(40) == 0:
		incarnation := w.startedAt
		m.after(2*time.Second+time.Duration(m.random.Int64N(int64(4*time.Second))), func() {
			if w.startedAt.Equal(incarnation) { // a delayed order is lost with its worker
				run()
			}
		})
		timeOut()
	case m.random.IntN(40) == 0:
		m.after(m.delay(), func() {
			if !w.silent {
				run()
			}
		})
		timeOut()
	default:
		m.after(m.delay(), func() {
			if w.silent {
				timeOut()
				return
			}
			p := run()
			m.after(m.delay(), func() {
				if o.alive {
					o.core.HandleReply(m.now, d, p, nil)
				}
			})
		})
	}
}

func (m *model) findWorker(id string) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// handleStart carries out a start order on a worker.
func (m *model) handleStart(w *modelWorker, s rock.StartOrder) rock.Reply {
	p := rock.Reply{Clock: w.clock(m.now)}
	if s.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = s.Fence
	switch r := w.running[s.Task]; {
	case r != nil && r.number == s.Run:
		return p
	case s.Run <= w.stopped[s.Task]:
		p.Refusal = rock.RefusedStaleRun
	case s.LeaseUntil < w.clock(m.now):
		p.Refusal = rock.RefusedLeaseExpired
	case len(w.running) >= 3:
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
	if m.failed[s.Task] >= 3 {
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
	r := &modelRun{number: s.Run, alive: true}
	w.running[s.Task] = r
	w.extendLease(m, s.LeaseUntil)
	incarnation := w.startedAt
	m.after(time.Duration(200+m.random.IntN(1500))*time.Millisecond, func() {
		if !r.alive || !w.startedAt.Equal(incarnation) {
			return
		}
		how := rock.EndDone
		if m.random.IntN(12) == 0 {
			how = rock.EndFailed
		}
		m.endRun(w, s.Task, how)
	})
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
		for task := range w.running {
			m.endRun(w, task, rock.EndLeaseExpired)
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
}

func (m *model) stopRun(w *modelWorker, s rock.StopOrder) rock.Reply {
	p := rock.Reply{Clock: w.clock(m.now)}
	if s.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = s.Fence
	w.stopped[s.Task] = max(w.stopped[s.Task], s.Run)
	if r := w.running[s.Task]; r != nil && r.number <= s.Run {
		m.endRun(w, s.Task, rock.EndStopped)
	}
	return p
}

// poll keeps renewing a worker's lease.
func (o *modelOwner) poll(w *modelWorker) {
	if !o.alive {
		return
	}
	m, sent := o.m, o.m.now
	_, h, ok := o.core.HoldOrder(m.now, w.id, 0)
	if !ok {
		m.after(50*time.Millisecond, func() { o.poll(w) })
		return
	}
	if known := o.incarnations[w.id]; !known.Equal(w.startedAt) {
		o.incarnations[w.id] = w.startedAt
		if !known.IsZero() { // the connection to the former incarnation breaks
			o.core.HandleUnanswered(m.now, sent, w.id, true, fmt.Errorf("connection reset"))
			m.after(m.delay(), func() { o.poll(w) })
			return
		}
	}
	m.after(m.delay(), func() {
		if w.silent || m.random.IntN(60) == 0 {
			if !w.silent {
				m.renew(w, h) // the answer is lost
			}
			m.after(modelTimeout, func() {
				if o.alive {
					o.core.HandleUnanswered(m.now, sent, w.id, true, fmt.Errorf("no answer"))
				}
				o.poll(w)
			})
			return
		}
		p := m.renew(w, h)
		m.after(m.delay(), func() {
			if o.alive {
				o.core.HandleReport(m.now, sent, w.id, p)
				if o.core.Fenced() {
					o.alive = false
				}
			}
			m.after(30*time.Millisecond, func() { o.poll(w) })
		})
	})
}

// renew carries out a renewal on a worker.
func (m *model) renew(w *modelWorker, h rock.RenewOrder) rock.Report {
	p := rock.Report{Clock: w.clock(m.now), WorkerStartedAt: w.startedAt}
	if h.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = h.Fence
	w.extendLease(m, h.LeaseUntil)
	for len(w.ended) > 0 && w.ended[0].Number <= h.AckedUpTo {
		e := w.ended[0]
		m.log("noted %s run %d on %s by fence %d", e.Task, e.Run, w.id, h.Fence)
		if e.Reason == rock.EndDone && !w.leaseExpiredAt.After(w.endedAt[e.Number]) {
			m.acked[e.Task] = true
			if w.restartedAfter[e.Number] {
				m.fail("TWICE: %s run %d on %s was noted as done and had been started again", e.Task, e.Run, w.id)
			}
		}
		if e.Reason == rock.EndFailed {
			m.failed[e.Task]++
		}
		w.ended = w.ended[1:]
	}
	for task, r := range w.running {
		p.Running = append(p.Running, rock.Run{Task: task, Run: r.number, Percent: 100})
	}
	p.Ended = append(p.Ended, w.ended...)
	return p
}

// restart replaces a worker by a new incarnation with the same ID.
func (m *model) restart(w *modelWorker) {
	m.log("restart of %s", w.id)
	for task, r := range w.running {
		r.alive = false
		delete(w.running, task)
	}
	w.startedAt, w.fence, w.leaseEnd, w.ended, w.lastEnd = m.now, 0, 0, nil, 0
	w.stopped, w.endedAt, w.restartedAfter = map[string]int64{}, map[int64]time.Time{}, map[int64]bool{}
}

// injectFaults causes random faults in the first two thirds of the simulation, and
// then ends them.
func (m *model) injectFaults() {
	if m.now.Sub(start) > modelLength*2/3 {
		for _, w := range m.workers {
			w.silent = false
		}
		if m.owner == nil || !m.owner.alive {
			m.after(2300*time.Millisecond, func() { m.replaceOwner() })
		}
		return
	}
	w := m.workers[m.random.IntN(len(m.workers))]
	switch m.random.IntN(4) {
	case 0:
		w.silent = true
		m.after(time.Duration(m.random.Int64N(int64(8*time.Second))), func() { w.silent = false })
	case 1:
		m.restart(w)
	case 2:
		m.owner.alive = false
		m.after(2300*time.Millisecond, m.replaceOwner)
	}
	m.after(time.Duration(500+m.random.IntN(3000))*time.Millisecond, m.injectFaults)
}

// replaceOwner makes a new owner take over the cell.
func (m *model) replaceOwner() {
	if m.owner != nil {
		m.owner.alive = false
	}
	m.takeOver()
}

func (m *model) run() {
	m.takeOver()
	m.after(3*time.Second, m.injectFaults)
	for len(m.queue) > 0 && m.now.Sub(start) < modelLength+30*time.Second {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
		if len(m.rows.outcomes) == modelJobs && m.now.Sub(start) > modelLength {
			break
		}
	}
	if len(m.rows.outcomes) < modelJobs {
		for id := range m.rows.jobs {
			m.fail("LOST: %s has not ended: %s", id, m.owner.core.Describe(m.now, id))
		}
	}
	for id, s := range m.rows.outcomes {
		if s != works.Completed && s != works.Failed {
			m.fail("job %s ended as %s", id, s)
		}
	}
}

// modelSeeds is the number of simulated schedules.
const modelSeeds = 60

// TestRandomFaultSchedules guards against tasks that run twice, out of order or more
// often than allowed, and against lost jobs, under random schedules of faults.
func TestRandomFaultSchedules(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		m := newModel(t, seed)
		m.run()
	}
}
