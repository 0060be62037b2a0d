package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

const (
	waitCheckInterval = 100 * time.Millisecond
	// settleTime is how long after the last fault the effects of faults may last: the
	// longest lease on the slowest clock, and two calls without an answer after it.
	settleTime = modelMaxLease*103/100 + 2*modelTimeout
	// maxWait is how long a job may have nothing running, and maxPersistentWait how
	// long a persistent task may be away.
	maxWait           = 3 * time.Second
	maxPersistentWait = 6 * time.Second
	// joinTime is how long after its registration a worker counts as capacity.
	joinTime = 2 * time.Second
	// noticeTime is how long a persistent task may be away unnoticed.
	noticeTime = 2500 * time.Millisecond
	// maxPlacementWait is how long nothing of a job may run beside a worker that has room for it
	// all the while, however full the other workers are.
	maxPlacementWait = 2 * time.Second
)

// modelWaits holds since when each job, or persistent task, has had nothing running, and
// since when there has been room for it.
type modelWaits struct {
	idleSince map[string]time.Time
	roomSince map[string]time.Time
	// placeSince holds since when a job has been waiting beside a worker with room for it.
	placeSince map[jobPlace]time.Time
	// stops holds the stops that were ordered.
	stops map[rock.StopOrder]bool
	// checks is the number of times that a waiting job was found in calm time.
	checks int
	// longest is the longest wait in calm time while there was room.
	longest time.Duration
}

// jobPlace identifies a job and a worker that has room for it.
type jobPlace struct{ job, worker string }

func newModelWaits() modelWaits {
	return modelWaits{
		idleSince: map[string]time.Time{}, roomSince: map[string]time.Time{}, placeSince: map[jobPlace]time.Time{},
		stops: map[rock.StopOrder]bool{},
	}
}

// checkWaits fails the test if a job, or a persistent task, has waited for too long
// although most of the fleet is free.
func (m *model) checkWaits() {
	m.after(waitCheckInterval, m.checkWaits)
	if gone := m.owner.core.Waiting(m.now, cell.WaitQuery{}).GoneWithRuns; len(gone) > 0 {
		m.fail("GONE: %s have runs although they are gone", strings.Join(gone, " "))
	}
	running := map[string]bool{}
	for _, w := range m.workers {
		for task := range w.running {
			n, _ := works.ParseTaskName(task)
			running[n.Job], running[task] = true, true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.rows.jobs)) {
		j := m.rows.jobs[id]
		switch {
		case m.fleet.cancelled[id]:
		case j.Spec.Persistent():
			s := &j.Spec.Steps[0]
			for i := range s.Count {
				task := works.TaskName{Job: id, Index: i}.String()
				m.checkWait(id, task, running[task], m.hasRoomFor(id, s, 0, 1), maxPersistentWait)
			}
		case m.hasKinds():
			m.checkWait(id, id, running[id], m.hasRoomForNextStep(j), maxWait)
			m.checkPlaces(j, running[id] || m.owner.core.HasRuns(id))
		default:
			var need rock.Resources
			for _, s := range j.Spec.Steps {
				need.MilliCores, need.MemoryMB = max(need.MilliCores, s.Need.MilliCores), max(need.MemoryMB, s.Need.MemoryMB)
			}
			m.checkWait(id, id, running[id], m.hasRoomTwice(id, need, 0), maxWait)
		}
	}
}

// hasRoomForNextStep reports whether a step of the job may start and has room twice over.
func (m *model) hasRoomForNextStep(j works.Job) bool {
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		tasks := 1
		if s.Gang {
			tasks = s.Count
		}
		if m.isStepReady(j, i) && m.hasRoomFor(j.ID, s, i, tasks) {
			return true
		}
	}
	return false
}

// isStepReady reports whether the tasks of a step may start and are not all done.
func (m *model) isStepReady(j works.Job, step int) bool {
	ready := !m.isStepDone(j, step)
	for _, d := range j.Spec.Steps[step].DependsOn {
		ready = ready && m.isStepDone(j, d)
	}
	return ready
}

// checkPlaces fails the test if nothing of an ordinary job is placed although one worker has had
// room for one of its tasks twice over for long, and is not avoided.
func (m *model) checkPlaces(j works.Job, placed bool) {
	f := m.fleet
	settled := f.faultsEndAt.Add(settleTime)
	for _, w := range m.workers {
		place := jobPlace{j.ID, w.id}
		if placed || f.faulty || m.now.Before(settled) || !m.counts(w) || m.owner.core.Avoids(m.now, w.id) || !m.hasPlace(j, w) {
			delete(f.waits.placeSince, place)
			continue
		}
		if f.waits.placeSince[place].IsZero() {
			f.waits.placeSince[place] = m.now
		}
		if since := f.waits.placeSince[place]; m.now.Sub(since) > maxPlacementWait {
			m.t.Log(m.owner.core.Describe(m.now, j.ID))
			m.fail("LOST: %s waits since %v beside %s, which has room", j.ID, since.Sub(start), w.id)
		}
	}
}

// hasPlace reports whether the worker has room twice over for a task of the job that may start.
func (m *model) hasPlace(j works.Job, w *modelWorker) bool {
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		if !s.Gang && m.isStepReady(j, i) && m.mayRunOn(j.ID, i, w) && s.MaxPerWorker == 0 && w.capacity.Sub(w.used()).Count(s.Need, 2) == 2 {
			return true
		}
	}
	return false
}

// mayRunOn reports whether the label of a step and its policy allow it on the worker.
func (m *model) mayRunOn(id string, step int, w *modelWorker) bool {
	s := &m.specs[id].Spec.Steps[step]
	return (s.Label == "" || s.Label == w.label) && (m.specs[id].Queue != ticketQueue || m.allows(fmt.Sprintf("%s.0.%d", id, step), w.id))
}

// checkReservations fails the test if a worker is reserved for a step that may not run on it.
func (m *model) checkReservations(o *modelOwner) {
	if !m.hasKinds() {
		return
	}
	for worker, step := range o.core.Reserved() {
		n, err := works.ParseTaskName(step + ".0")
		assert.NilError(m.t, err)
		if w := m.findWorker(worker); !m.mayRunOn(n.Job, n.Step, w) || m.fleet.draining[worker] {
			m.fail("LOST: %s is reserved for %s, which may not run on it", worker, step)
		}
		m.reservations++
	}
}

// isStepDone reports whether all tasks of a step are done. A worker that has left, or
// whose lease expired, takes ends with it that are not stored.
func (m *model) isStepDone(j works.Job, step int) bool {
	ended := map[string]bool{}
	for _, w := range m.workers {
		for _, e := range w.ended {
			if e.Reason == rock.EndDone && w.leaseExpiredAt.Before(w.endedAt[e.Number]) {
				ended[e.Task] = true
			}
		}
	}
	for _, p := range m.rows.progress[j.ID].Tasks {
		if p.Done {
			ended[works.TaskName{Job: j.ID, Step: p.Step, Index: p.Index}.String()] = true
		}
	}
	s := &j.Spec.Steps[step]
	done := 0
	for i := range s.Count {
		task := works.TaskName{Job: j.ID, Step: step, Index: i}.String()
		if m.acked[task] || ended[task] {
			done++
		}
	}
	return done == s.Count || s.Gang && done > 0
}

// checkWait checks the wait of a job, or of one of its persistent tasks.
func (m *model) checkWait(id, subject string, running, room bool, limit time.Duration) {
	ws := &m.fleet.waits
	if running || ws.idleSince[subject].IsZero() {
		ws.idleSince[subject] = m.now
	}
	if !room || ws.roomSince[subject].IsZero() {
		ws.roomSince[subject] = m.now
	}
	settled := m.fleet.faultsEndAt.Add(settleTime)
	if running || m.fleet.faulty || m.now.Before(settled) {
		return
	}
	ws.checks++
	since := slices.MaxFunc([]time.Time{ws.idleSince[subject], ws.roomSince[subject], settled}, time.Time.Compare)
	ws.longest = max(ws.longest, m.now.Sub(since))
	if m.now.Sub(since) <= limit {
		return
	}
	m.t.Log(m.owner.core.Describe(m.now, id))
	for _, x := range m.owner.core.Waiting(m.now, cell.WaitQuery{Longer: limit / 2, MaxJobs: 100}).Waiting {
		m.t.Logf("%+v run %+v", x, x.Run)
	}
	m.fail("LOST: %s waits since %v, settled %v, room since %v", id, ws.idleSince[subject].Sub(start), settled.Sub(start), ws.roomSince[subject].Sub(start))
}

// isRunning reports whether a task runs on a worker.
func (m *model) isRunning(task string) bool {
	return slices.ContainsFunc(m.workers, func(w *modelWorker) bool { return w.running[task] != nil })
}

// hasRoomTwice reports whether more than half of the capacity is free, and there is
// room for two more tasks.
func (m *model) hasRoomTwice(id string, need rock.Resources, maxPerWorker int) bool {
	return m.hasRoomFor(id, &works.Step{Need: need, MaxPerWorker: maxPerWorker}, 0, 1)
}

// hasRoomFor reports whether more than half of the capacity is free, and there is room
// for twice the given number of tasks of a step.
func (m *model) hasRoomFor(id string, s *works.Step, step, tasks int) bool {
	var used, all rock.Resources
	room := 0
	for _, w := range m.workers {
		if !m.counts(w) {
			continue
		}
		used, all = used.Add(w.used()), all.Add(w.capacity)
		if !m.mayRunOn(id, step, w) {
			continue
		}
		free := w.capacity.Sub(w.used())
		for n := w.countStepRuns(id, step); free.CanFit(s.Need) && (s.MaxPerWorker == 0 || n < s.MaxPerWorker); n++ {
			free = free.Sub(s.Need)
			room++
		}
	}
	return room >= 2*tasks && 2*used.MilliCores < all.MilliCores && 2*used.MemoryMB < all.MemoryMB
}

// counts reports whether a worker counts as capacity. One that only the owner drains does.
func (m *model) counts(w *modelWorker) bool {
	f := m.fleet
	r, listed := f.listed[w.id]
	return w.reachable() && !w.busy && !w.impaired() && listed && r.StartedAt.Equal(w.born) && m.now.Sub(f.listedSince[w.id]) >= joinTime &&
		!f.draining[w.id] && !m.now.Before(f.hidden[w.id])
}

// countStepRuns returns the number of runs of a job's step on the worker.
func (w *modelWorker) countStepRuns(id string, step int) int {
	count := 0
	for task := range w.running {
		if n, _ := works.ParseTaskName(task); n.Job == id && n.Step == step {
			count++
		}
	}
	return count
}

// checkStart fails the test if a start is ordered on a worker that the platform lists as draining. While its
// registration is missing, the owner cannot know.
func (m *model) checkStart(d cell.Order) {
	if m.fleet != nil && d.Kind == cell.OrderStart && m.fleet.draining[d.Worker.ID] && !m.now.Before(m.fleet.hidden[d.Worker.ID]) {
		m.t.Log(m.owner.core.Describe(m.now, d.Job))
		m.fail("DRAIN: %s is started on %s, which is drained since %v", d.Start.Task, d.Worker.ID, m.fleet.drainedAt[d.Worker.ID].Sub(start))
	}
}

// checkStop fails the test if a persistent task is stopped for a drain while as many
// others of its step as MaxUnavailable allows have been away for long.
func (m *model) checkStop(o *modelOwner, d cell.Order) {
	if m.fleet == nil || d.Kind != cell.OrderStop || m.fleet.waits.stops[d.Stop] {
		return
	}
	m.fleet.waits.stops[d.Stop] = true // a repeated stop is no decision
	// A stop that was decided while the platform drained the worker may be sent later, once the start
	// that is on its way has timed out or the owner goes on after a pause.
	if d.Reason != "its worker is being drained" || m.now.Sub(m.fleet.drainedAt[d.Worker.ID]) < maxPause+modelTimeout || !o.alive {
		return
	}
	s := m.step(d.Stop.Task)
	away := 0
	for i := range s.Count {
		task := works.TaskName{Job: d.Job, Index: i}.String()
		if since := m.fleet.waits.idleSince[task]; task != d.Stop.Task && !since.IsZero() && m.now.Sub(since) > noticeTime && !m.isRunning(task) {
			away++
		}
	}
	if away >= s.MaxUnavailable {
		m.t.Log(o.core.Describe(m.now, d.Job))
		m.fail("AVAIL: %s is stopped on %s while %d others are away", d.Stop.Task, d.Worker.ID, away)
	}
}
