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

// The model plays a cell, its workers, its rows and the calls between them in
// virtual time, with faults drawn from a seed: answers that are lost, orders
// that are carried out late, workers that fall silent or restart, and owners
// that are killed. It checks from the workers' side that no task runs twice,
// before its time, after it was done or more often than it may fail.

const (
	modelHold    = 4 * time.Second
	modelMaxHold = 6 * time.Second
	modelLength  = 60 * time.Second
	modelJobs    = 40
)

// event is something that happens at a time.
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
	id      string
	rate    float64
	born    time.Time
	silent  bool
	fence   uint64
	until   time.Duration
	running map[string]*modelRun
	stopped map[string]int64
	ended   []rock.End
	endedAt map[int64]time.Time
	// again holds the ends after which the task was started again.
	again map[int64]bool
	next  int64
	// lapsedAt is when the lease last passed. The platform does not count an
	// end as noted if the lease passed between the two.
	lapsedAt time.Time
}

// modelRows are the rows of the cell.
type modelRows struct {
	jobs     map[string]works.Job
	versions map[string]uint64
	progress map[string]works.Progress
	outcomes map[string]works.State
	workers  map[string]time.Time
}

// model is the whole.
type model struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	queue   events
	workers []*modelWorker
	rows    modelRows
	version uint64
	owner   *modelOwner
	done    map[string]bool
	noted   map[string]bool
	failed  map[string]int
	starts  int
	lines   []string
}

// modelOwner is one owner of the cell.
type modelOwner struct {
	m          *model
	core       *cell.Cell
	alive      bool
	committing bool
	// lives holds the life of each worker to which a connection is open.
	lives map[string]time.Time
}

// log keeps a line for the report of a broken promise.
func (m *model) log(format string, args ...any) {
	m.lines = append(m.lines, fmt.Sprintf("%v ", m.now.Sub(start))+fmt.Sprintf(format, args...))
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now.Add(d), do}) }

func (m *model) fault(format string, args ...any) {
	m.t.Helper()
	subject, _, _ := strings.Cut(strings.TrimLeft(fmt.Sprintf(format, args...), "ABCDEFGHIJKLMNOPQRSTUVWXYZ: "), " ")
	for _, line := range m.lines {
		if strings.Contains(line, subject) || strings.Contains(line, "take") || strings.Contains(line, "restart") {
			m.t.Log(line)
		}
	}
	m.t.Fatalf("seed %d at %v: %s", m.seed, m.now.Sub(start), fmt.Sprintf(format, args...))
}

func (w *modelWorker) clock(now time.Time) time.Duration {
	return time.Duration(w.rate * float64(now.Sub(w.born)))
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: start,
		rows: modelRows{map[string]works.Job{}, map[string]uint64{}, map[string]works.Progress{}, map[string]works.State{}, map[string]time.Time{}},
		done: map[string]bool{}, noted: map[string]bool{}, failed: map[string]int{},
	}
	for i := range 5 {
		m.workers = append(m.workers, &modelWorker{id: fmt.Sprint("w", i), born: start, rate: 0.98 + 0.02*m.random.Float64(), endedAt: map[int64]time.Time{}, again: map[int64]bool{}, running: map[string]*modelRun{}, stopped: map[string]int64{}})
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
			StartedAt: w.born, Clock: w.clock(m.now), ReadAt: m.now,
		})
	}
	return list
}

// take makes a new owner from the rows.
func (m *model) take() {
	m.version++
	former := map[string]time.Time{}
	for id, until := range m.rows.workers {
		former[id] = until
	}
	o := &modelOwner{m: m, alive: true, lives: map[string]time.Time{}, core: cell.New(cell.Settings{
		Pool: "tins", Fence: m.version, LeaseDuration: modelHold, MaxLeaseDuration: modelMaxHold, MaxStopDuration: 400 * time.Millisecond,
		FormerLeasesEndAt: m.now.Add(modelHold*103/100 + time.Second), FormerWorkers: former,
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
	o.turn()
}

// turn decides every 10 ms.
func (o *modelOwner) turn() {
	if !o.alive {
		return
	}
	m := o.m
	for _, n := range o.core.TakeEvents() {
		m.log("%v", n)
	}
	o.core.SetWorkers(m.now, m.registered())
	for _, d := range o.core.Decide(m.now, m.now) {
		o.give(d)
	}
	if !o.committing && o.core.FlushDue(m.now) {
		o.commit()
	}
	m.after(10*time.Millisecond, o.turn)
}

// commit writes the rows after a while, and may lose the answer.
func (o *modelOwner) commit() {
	m := o.m
	b := o.core.Flush(m.now)
	o.committing = true
	m.after(m.way(), func() {
		if !o.alive {
			return // the condition on the owner fails
		}
		applied := m.random.IntN(20) > 0
		if applied {
			m.write(b)
		}
		m.after(m.way(), func() {
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
				m.fault("job %s ended as %s after %s", w.ID, w.Outcome.State, m.rows.outcomes[w.ID])
			}
			m.rows.outcomes[w.ID] = w.Outcome.State
			delete(m.rows.jobs, w.ID)
			delete(m.rows.progress, w.ID)
		} else {
			m.rows.progress[w.ID] = w.Progress
		}
	}
}

// way returns the time of one way.
func (m *model) way() time.Duration { return time.Duration(1+m.random.IntN(8)) * time.Millisecond }

// modelTimeout bounds an order.
const modelTimeout = 900 * time.Millisecond

// give gives an order: it is carried out, carried out late, or lost.
func (o *modelOwner) give(d cell.Order) {
	m, sent := o.m, o.m.now
	w := m.find(d.Worker.ID)
	silence := func() {
		m.after(modelTimeout, func() {
			if o.alive {
				o.core.HandleReply(m.now, d, rock.Reply{}, rock.Fail("order", d.Worker.ID, rock.OutcomeUnknown, rock.MayHaveRun))
				o.core.HandleUnanswered(m.now, sent, d.Worker.ID, true, fmt.Errorf("no answer"))
			}
		})
	}
	run := func() rock.Reply {
		if d.Kind == cell.OrderStop {
			return m.stop(w, d.Stop)
		}
		return m.start(w, d.Start)
	}
	switch {
	case m.random.IntN(40) == 0:
		life := w.born
		m.after(2*time.Second+time.Duration(m.random.Int64N(int64(4*time.Second))), func() {
			if w.born.Equal(life) { // an order that waits in a worker dies with it
				run()
			}
		})
		silence()
	case m.random.IntN(40) == 0:
		m.after(m.way(), func() {
			if !w.silent {
				run()
			}
		})
		silence()
	default:
		m.after(m.way(), func() {
			if w.silent {
				silence()
				return
			}
			p := run()
			m.after(m.way(), func() {
				if o.alive {
					o.core.HandleReply(m.now, d, p, nil)
				}
			})
		})
	}
}

func (m *model) find(id string) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// start carries a start out.
func (m *model) start(w *modelWorker, s rock.StartOrder) rock.Reply {
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
		m.begin(w, s)
	}
	return p
}

// begin starts a run and checks that it may.
func (m *model) begin(w *modelWorker, s rock.StartOrder) {
	m.log("begin %s run %d on %s fence %d", s.Task, s.Run, w.id, s.Fence)
	m.starts++
	for _, o := range m.workers {
		if o.running[s.Task] != nil {
			m.fault("TWICE: %s run %d started on %s while it runs on %s", s.Task, s.Run, w.id, o.id)
		}
	}
	if m.noted[s.Task] {
		m.fault("TWICE: %s run %d started on %s after its end was noted", s.Task, s.Run, w.id)
	}
	for _, o := range m.workers {
		for _, e := range o.ended {
			if e.Task == s.Task && e.Reason == rock.EndDone {
				o.again[e.Number] = true
			}
		}
	}
	if m.failed[s.Task] >= 3 {
		m.fault("BUDGET: %s run %d started on %s after %d failures", s.Task, s.Run, w.id, m.failed[s.Task])
	}
	n, err := works.ParseTaskName(s.Task)
	assert.NilError(m.t, err)
	if j, ok := m.rows.jobs[n.Job]; ok && n.Step == 1 {
		for i := range j.Spec.Steps[0].Count {
			if before := (works.TaskName{Job: n.Job, Index: i}).String(); !m.done[before] {
				m.fault("ORDER: %s started before %s was done", s.Task, before)
			}
		}
	}
	r := &modelRun{number: s.Run, alive: true}
	w.running[s.Task] = r
	w.extend(m, s.LeaseUntil)
	life := w.born
	m.after(time.Duration(200+m.random.IntN(1500))*time.Millisecond, func() {
		if !r.alive || !w.born.Equal(life) {
			return
		}
		how := rock.EndDone
		if m.random.IntN(12) == 0 {
			how = rock.EndFailed
		}
		m.end(w, s.Task, how)
	})
}

// extend extends the lease of all that runs on the worker.
func (w *modelWorker) extend(m *model, until time.Duration) {
	until = min(until, w.clock(m.now)+modelMaxHold)
	if until <= w.until {
		return
	}
	w.until = until
	life := w.born
	left := time.Duration(float64(until-w.clock(m.now)) / w.rate)
	m.after(left+time.Millisecond, func() {
		if !w.born.Equal(life) || w.clock(m.now) < w.until {
			return
		}
		w.lapsedAt = m.now
		for task := range w.running {
			m.end(w, task, rock.EndLeaseExpired)
		}
	})
}

func (m *model) end(w *modelWorker, task string, how rock.EndReason) {
	r := w.running[task]
	m.log("end %s run %d on %s %s", task, r.number, w.id, how)
	r.alive = false
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], r.number)
	w.next++
	w.endedAt[w.next] = m.now
	w.ended = append(w.ended, rock.End{Number: w.next, Task: task, Run: r.number, Reason: how})
	if how == rock.EndDone {
		m.done[task] = true
	}
}

func (m *model) stop(w *modelWorker, s rock.StopOrder) rock.Reply {
	p := rock.Reply{Clock: w.clock(m.now)}
	if s.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = s.Fence
	w.stopped[s.Task] = max(w.stopped[s.Task], s.Run)
	if r := w.running[s.Task]; r != nil && r.number <= s.Run {
		m.end(w, s.Task, rock.EndStopped)
	}
	return p
}

// poll asks a worker for reports, again and again.
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
	if known := o.lives[w.id]; !known.Equal(w.born) {
		o.lives[w.id] = w.born
		if !known.IsZero() { // the connection to the former life breaks
			o.core.HandleUnanswered(m.now, sent, w.id, true, fmt.Errorf("connection reset"))
			m.after(m.way(), func() { o.poll(w) })
			return
		}
	}
	m.after(m.way(), func() {
		if w.silent || m.random.IntN(60) == 0 {
			if !w.silent {
				m.hold(w, h) // the answer is lost
			}
			m.after(modelTimeout, func() {
				if o.alive {
					o.core.HandleUnanswered(m.now, sent, w.id, true, fmt.Errorf("no answer"))
				}
				o.poll(w)
			})
			return
		}
		p := m.hold(w, h)
		m.after(m.way(), func() {
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

// hold carries a hold order out.
func (m *model) hold(w *modelWorker, h rock.RenewOrder) rock.Report {
	p := rock.Report{Clock: w.clock(m.now), WorkerStartedAt: w.born}
	if h.Fence < w.fence {
		p.Refusal = rock.RefusedFence
		return p
	}
	w.fence = h.Fence
	w.extend(m, h.LeaseUntil)
	for len(w.ended) > 0 && w.ended[0].Number <= h.AckedUpTo {
		e := w.ended[0]
		m.log("noted %s run %d on %s by fence %d", e.Task, e.Run, w.id, h.Fence)
		if e.Reason == rock.EndDone && !w.lapsedAt.After(w.endedAt[e.Number]) {
			m.noted[e.Task] = true
			if w.again[e.Number] {
				m.fault("TWICE: %s run %d on %s was noted as done and had been started again", e.Task, e.Run, w.id)
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

// restart ends a worker's life and begins another under its id.
func (m *model) restart(w *modelWorker) {
	m.log("restart of %s", w.id)
	for task, r := range w.running {
		r.alive = false
		delete(w.running, task)
	}
	w.born, w.fence, w.until, w.ended, w.next = m.now, 0, 0, nil, 0
	w.stopped, w.endedAt, w.again = map[string]int64{}, map[int64]time.Time{}, map[int64]bool{}
}

// faults draws what goes wrong next, in the first two thirds of the play.
func (m *model) faults() {
	if m.now.Sub(start) > modelLength*2/3 {
		for _, w := range m.workers {
			w.silent = false
		}
		if m.owner == nil || !m.owner.alive {
			m.after(2300*time.Millisecond, func() { m.replace() })
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
		m.after(2300*time.Millisecond, m.replace)
	}
	m.after(time.Duration(500+m.random.IntN(3000))*time.Millisecond, m.faults)
}

// replace makes another owner take the cell.
func (m *model) replace() {
	if m.owner != nil {
		m.owner.alive = false
	}
	m.take()
}

func (m *model) play() {
	m.take()
	m.after(3*time.Second, m.faults)
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
			m.fault("LOST: %s has not ended: %s", id, m.owner.core.Describe(m.now, id))
		}
	}
	for id, s := range m.rows.outcomes {
		if s != works.Completed && s != works.Failed {
			m.fault("job %s ended as %s", id, s)
		}
	}
}

// modelSeeds is the number of schedules that the test plays.
const modelSeeds = 60

func TestSchedulesOfFaults(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		m := newModel(t, seed)
		m.play()
	}
}
