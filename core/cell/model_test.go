package cell_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
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

// model is the state of the simulation.
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
	acked   map[string]bool
	failed  map[string]int
	// failedRuns holds the numbers of the runs that failed, by the task; see stepKey.
	failedRuns map[string]map[int64]bool
	// specs holds all jobs that were submitted.
	specs  map[string]works.Job
	starts int
	// reservations counts the reservations of workers, one for each decision.
	reservations int
	// fleet is the state of a fleet whose workers come and go, or nil if the workers stay.
	fleet *modelFleet
	// queues is the state of queues whose settings change, or nil if they do not.
	queues   *modelQueues
	logLines []string
}

// log records a line that is printed if the test fails.
func (m *model) log(format string, args ...any) {
	m.logLines = append(m.logLines, fmt.Sprintf("%v ", m.now.Sub(start))+fmt.Sprintf(format, args...))
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now.Add(d), do}) }

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	subject, _, _ := strings.Cut(strings.TrimLeft(fmt.Sprintf(format, args...), "ABCDEFGHIJKLMNOPQRSTUVWXYZ: "), " ")
	job, _, _ := strings.Cut(subject, ".")
	for _, line := range m.logLines {
		if strings.Contains(line, job) || strings.Contains(line, "take") || strings.Contains(line, "restart") {
			m.t.Log(line)
		}
	}
	m.t.Fatalf("seed %d at %v: %s", m.seed, m.now.Sub(start), fmt.Sprintf(format, args...))
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: start,
		rows: modelRows{map[string]works.Job{}, map[string]uint64{}, map[string]works.Progress{}, map[string]works.State{}, map[string]time.Time{}},
		done: map[string]bool{}, acked: map[string]bool{}, failed: map[string]int{}, failedRuns: map[string]map[int64]bool{}, specs: map[string]works.Job{},
	}
	for i := range 5 {
		m.workers = append(m.workers, m.newWorker(fmt.Sprint("w", i)))
	}
	for i := range modelJobs {
		m.after(time.Duration(m.random.Int64N(int64(modelLength/2))), func() { m.submit(fmt.Sprintf("%016x", i)) })
	}
	return m
}

func (m *model) submit(id string) {
	m.version++
	j := job(id, step(1+m.random.IntN(3)), step(1+m.random.IntN(2), 0))
	if m.fleet != nil && !m.hasKinds() {
		j.Spec = m.fleetSpec()
	}
	if m.hasKinds() {
		j.Spec, j.Queue = m.kindsSpec()
	}
	j.Accepted = m.now
	if m.queues != nil {
		m.queues.accept(&j)
	}
	m.rows.jobs[id], m.rows.versions[id], m.specs[id] = j, m.version, j
	if m.owner != nil {
		m.owner.core.AddJob(m.now, j, m.version)
	}
}

// registered returns the workers as the platform lists them.
func (m *model) registered() []rock.Worker {
	if m.fleet != nil {
		return m.fleet.registered(m)
	}
	var list []rock.Worker
	for _, w := range m.workers {
		list = append(list, rock.Worker{
			ID: w.id, Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 3000, MemoryMB: 8000},
			StartedAt: w.startedAt, Clock: w.clock(m.now), ReadAt: m.now,
		})
	}
	return list
}

// delay returns a random network delay.
func (m *model) delay() time.Duration { return time.Duration(1+m.random.IntN(8)) * time.Millisecond }

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

func (m *model) run() {
	m.takeOver()
	if m.fleet == nil {
		m.after(3*time.Second, m.injectFaults)
	}
	for len(m.queue) > 0 && m.now.Sub(start) < modelLength+30*time.Second {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
		if len(m.rows.outcomes) == modelJobs && m.now.Sub(start) > modelLength {
			break
		}
	}
	if len(m.rows.outcomes) < modelJobs && !m.hasKinds() { // with all kinds, no worker may fit
		for id := range m.rows.jobs {
			m.fail("LOST: %s has not ended: %s", id, m.owner.core.Describe(m.now, id))
		}
	}
	for id, s := range m.rows.outcomes {
		cancelled := s == works.Cancelled && m.fleet != nil && m.fleet.cancelled[id]
		if s != works.Completed && s != works.Failed && !cancelled {
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
