package cell_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
)

// modelFleet is the part of the model's state that lets workers come and go. Times of
// faults alternate with calm times, in which work goes on and hosts are drained.
type modelFleet struct {
	// listed holds the registrations that the platform lists, and hidden when those
	// that are missing for a moment are listed again.
	listed map[string]rock.Worker
	hidden map[string]time.Time
	// listedSince is when a worker was first listed.
	listedSince map[string]time.Time
	closing     map[string]bool
	// draining holds the workers that the platform drains, and drainedAt until when it did.
	draining  map[string]bool
	drainedAt map[string]time.Time
	cancelled map[string]bool
	// faulty is true while faults are injected. The last fault ends at faultsEndAt.
	faulty      bool
	faultsEndAt time.Time
	// partsDown holds the parts of the table that cannot be read.
	partsDown map[int]bool
	// workerCount is the number of workers so far, and persistentJobs that of jobs.
	workerCount    int
	persistentJobs int
	waits          modelWaits
	// kinds is nil if there are only the common kinds of steps and faults.
	kinds *modelKinds
}

// newFleetModel returns a model whose workers come and go.
func newFleetModel(t *testing.T, seed uint64) *model {
	m := newModel(t, seed)
	f := &modelFleet{
		listed: map[string]rock.Worker{}, hidden: map[string]time.Time{}, listedSince: map[string]time.Time{},
		closing: map[string]bool{}, draining: map[string]bool{}, drainedAt: map[string]time.Time{}, cancelled: map[string]bool{}, partsDown: map[int]bool{},
		workerCount: len(m.workers), waits: newModelWaits(),
	}
	m.fleet = f
	for _, w := range m.workers {
		w.capacity.MilliCores = m.fleetCapacity()
		f.list(m, w)
	}
	m.queue = nil
	for i := range modelJobs {
		m.after(time.Duration(m.random.Int64N(int64(modelLength*9/10))), func() { m.submit(fmt.Sprintf("%016x", i)) })
	}
	m.after(modelLength, m.cancelPersistent)
	m.after(3*time.Second, m.injectFleetFaults)
	m.after(2*time.Second, m.drainHosts)
	m.after(waitCheckInterval, m.checkWaits)
	return m
}

// list makes the platform list a worker as it is now.
func (f *modelFleet) list(m *model, w *modelWorker) {
	f.listed[w.id] = rock.Worker{
		ID: w.id, Address: "10.0.0.1:80", Pool: "tins", State: rock.WorkerReady, Capacity: w.capacity,
		StartedAt: w.born, Clock: w.clock(m.now), ReadAt: m.now,
	}
	if w.label != "" {
		r := f.listed[w.id]
		r.Labels = []string{w.label}
		f.listed[w.id] = r
	}
	f.listedSince[w.id] = m.now
}

// registered returns the workers as the platform lists them.
func (f *modelFleet) registered(m *model) []rock.Worker {
	var list []rock.Worker
	for _, id := range slices.Sorted(maps.Keys(f.listed)) {
		r := f.listed[id]
		if w := m.findWorker(id); w.born.Equal(r.StartedAt) && !w.left {
			r.Clock, r.ReadAt = w.clock(m.now), m.now
			f.listed[id] = r
		}
		if f.draining[id] {
			r.State = rock.WorkerDraining
			f.drainedAt[id] = m.now
		}
		if !m.now.Before(f.hidden[id]) {
			list = append(list, r)
		}
	}
	return list
}

// fleetCapacity returns the capacity of a worker in thousandths of a core.
func (m *model) fleetCapacity() int64 { return int64(3000 + 1000*m.random.IntN(6)) }

// fleetSpec returns a random job of one or two steps, or with a persistent one.
func (m *model) fleetSpec() works.Spec {
	if m.fleet.persistentJobs < 3 && m.random.IntN(8) == 0 {
		m.fleet.persistentJobs++
		s := step(1 + m.random.IntN(3))
		s.Persistent, s.MaxPerWorker, s.MaxUnavailable = true, m.random.IntN(2), 1+m.random.IntN(2)
		s.Need.MilliCores = int64(1000 + 1000*m.random.IntN(2))
		return works.Spec{Payload: "p", Steps: []works.Step{s}}
	}
	first, second := step(1+m.random.IntN(5)), step(1+m.random.IntN(2), 0)
	first.Need.MilliCores, second.Need.MilliCores = int64(1000+1000*m.random.IntN(3)), int64(1000+1000*m.random.IntN(3))
	return works.Spec{Payload: "p", Steps: []works.Step{first, second}}
}

// cancelPersistent cancels all persistent jobs.
func (m *model) cancelPersistent() {
	for _, id := range slices.Sorted(maps.Keys(m.rows.jobs)) {
		j := m.rows.jobs[id]
		if !j.Spec.Persistent() {
			continue
		}
		m.fleet.cancelled[id] = true
		if m.owner != nil {
			m.owner.core.Cancel(m.now, id)
		}
	}
}

// modelParts is the number of parts of the table that hold jobs.
const modelParts = 4

// modelPart returns the part of the table that holds a job.
func modelPart(id string) int { return int(id[len(id)-1]) % modelParts }

// unreadParts returns the parts of the table that cannot be read.
func (m *model) unreadParts() map[int]bool {
	if m.fleet == nil {
		return nil
	}
	return maps.Clone(m.fleet.partsDown)
}

// readLater reads the parts that could not be read once they answer.
func (o *modelOwner) readLater(unread map[int]bool) {
	if len(unread) == 0 {
		return
	}
	m := o.m
	m.fault(400 * time.Millisecond)
	m.after(400*time.Millisecond, func() {
		if !o.alive {
			return
		}
		for _, part := range slices.Sorted(maps.Keys(unread)) {
			if m.fleet.partsDown[part] {
				continue
			}
			delete(unread, part)
			for _, id := range slices.Sorted(maps.Keys(m.rows.jobs)) {
				if modelPart(id) == part {
					o.addStoredJob(id)
				}
			}
		}
		if len(unread) == 0 {
			o.core.SetJobsIncomplete(m.now, false)
		}
		o.readLater(unread)
	})
}

// firstSeed and seedCount choose the schedules of a fleet, for runs by hand.
var (
	firstSeed = flag.Uint64("fleet.first", 0, "first `seed` of TestRandomFleetSchedules")
	seedCount = flag.Uint64("fleet.seeds", 6, "`number` of seeds of TestRandomFleetSchedules")
)

// waitSeeds holds seeds that failed: in the first ones tasks have waited for good, in the last one a start was
// repeated on a worker that is drained.
var waitSeeds = []uint64{36, 56, 124, 70036}

// TestRandomFleetSchedules guards against tasks that wait for good although most of the
// fleet is free, after hosts have left or were drained, workers have refused calls, or
// jobs were unread for a while.
func TestRandomFleetSchedules(t *testing.T) {
	seeds := slices.Clone(waitSeeds)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newFleetModel(t, seed).run() })
	}
}
