package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// faultPhase and calmPhase are the lengths of the times with and without faults, which
// alternate.
const (
	faultPhase = 10 * time.Second
	calmPhase  = 20 * time.Second
)

// minLiving is the least number of workers that are left alive.
const minLiving = 3

// fault records that a fault is active for a while from now.
func (m *model) fault(d time.Duration) {
	if until := m.now.Add(d); m.fleet != nil && until.After(m.fleet.faultsEndAt) {
		m.fleet.faultsEndAt = until
	}
}

// happens reports whether a fault that happens once in n times, and lasts for at most
// the given time, happens now.
func (m *model) happens(n int, lasts time.Duration) bool {
	hit := m.random.IntN(n) == 0
	if m.fleet == nil {
		return hit
	}
	if hit && m.fleet.faulty {
		m.fault(lasts)
	}
	return hit && m.fleet.faulty
}

// maxLateAnswer is the longest time after which an answer is handled.
const maxLateAnswer = 800 * time.Millisecond

// answerDelay returns the delay of an answer, which may be handled late.
func (m *model) answerDelay() time.Duration {
	if m.fleet != nil && m.happens(50, maxLateAnswer) {
		return time.Duration(m.random.Int64N(int64(maxLateAnswer)))
	}
	return m.delay()
}

// between returns a random duration.
func (m *model) between(least, most time.Duration) time.Duration {
	return least + time.Duration(m.random.Int64N(int64(most-least)))
}

// living returns the workers that are neither gone nor about to leave.
func (m *model) living() []*modelWorker {
	return slices.DeleteFunc(slices.Clone(m.workers), func(w *modelWorker) bool { return w.left })
}

// injectFleetFaults causes random faults in the times of faults, and ends all of them
// when such a time ends.
func (m *model) injectFleetFaults() {
	since := m.now.Sub(start) - 3*time.Second
	calm := since%(faultPhase+calmPhase) >= faultPhase || since > modelLength*2/3
	if calm {
		if m.fleet.faulty {
			m.endFaults()
		}
		m.fleet.faulty = false
		m.after(100*time.Millisecond, m.injectFleetFaults)
		return
	}
	m.fleet.faulty = true
	m.fault(100 * time.Millisecond)
	living := m.living()
	w := living[m.random.IntN(len(living))]
	expendable := len(living) > minLiving
	switch m.random.IntN(10) {
	case 0:
		w.silent = true
		m.endLater(w, 8*time.Second, func() { w.silent = false })
	case 1:
		m.restart(w)
		m.after(m.between(0, time.Second), func() { m.relist(w) })
	case 2, 3:
		m.killOwner()
	case 4, 5:
		if expendable {
			m.crash(w)
		}
	case 6:
		w.busy = true
		m.log("%s refuses calls", w.id)
		m.endLater(w, 6*time.Second, func() { w.busy = false })
	case 7:
		m.fleet.hidden[w.id] = m.now.Add(m.between(10*time.Millisecond, 3*time.Second))
		m.fault(m.fleet.hidden[w.id].Sub(m.now))
	case 8:
		if expendable {
			m.takeDown(w)
		}
	case 9:
		m.fleet.draining[w.id] = true
		m.after(m.between(200*time.Millisecond, 3*time.Second), func() {
			if !w.left && len(m.living()) > minLiving && m.fleet.draining[w.id] {
				m.crash(w)
			}
			delete(m.fleet.draining, w.id)
		})
	}
	m.after(m.between(100*time.Millisecond, 1500*time.Millisecond), m.injectFleetFaults)
}

// endLater ends a worker's silence or refusals within the given time, or much later in
// one of four cases.
func (m *model) endLater(w *modelWorker, most time.Duration, end func()) {
	least := 100 * time.Millisecond
	if m.random.IntN(4) == 0 && !slices.ContainsFunc(m.workers, func(o *modelWorker) bool { return o.lasting }) {
		w.lasting = true
		least, most = 15*time.Second, 40*time.Second
	}
	m.after(m.between(least, most), func() {
		end()
		w.lasting = false
		m.fault(0)
	})
}

// endFaults ends the faults that are active, except the lasting ones.
func (m *model) endFaults() {
	m.fault(0)
	for _, w := range m.workers {
		if !w.lasting {
			w.silent, w.busy = false, false
		}
	}
	clear(m.fleet.hidden)
	clear(m.fleet.draining)
	clear(m.fleet.partsDown)
	if m.hasKinds() {
		m.endKinds()
	}
}

// killOwner ends the owner. Another one takes over, which may not be able to read some
// parts of the table.
func (m *model) killOwner() {
	if !m.owner.alive {
		return
	}
	m.owner.alive = false
	for part := range modelParts {
		if m.random.IntN(modelParts) == 0 {
			m.fleet.partsDown[part] = true
		}
	}
	m.after(2300*time.Millisecond, m.replaceOwner)
	m.fault(2300 * time.Millisecond)
	m.after(m.between(2300*time.Millisecond, 9*time.Second), func() { clear(m.fleet.partsDown) })
}

// leave ends a worker with all that it runs.
func (m *model) leave(w *modelWorker) {
	m.log("restart: %s leaves", w.id)
	m.restart(w)
	w.left = true
	delete(m.fleet.closing, w.id)
}

// crash ends a worker unexpectedly. The platform lists it for a while, and another
// worker may answer at its address.
func (m *model) crash(w *modelWorker) {
	m.leave(w)
	m.after(m.between(100*time.Millisecond, 4*time.Second), func() { m.delist(w); m.fault(0) })
	if m.random.IntN(3) == 0 {
		m.after(m.between(500*time.Millisecond, 3*time.Second), func() { w.replaced = w.left })
	}
	m.replaceWorker(w)
}

// takeDown ends a worker at the owner's order. Only that owner knows, once the list of
// hosts shows it, that the worker is gone.
func (m *model) takeDown(w *modelWorker) {
	ordered := m.owner
	incarnation := m.now
	m.leave(w)
	m.after(m.between(50*time.Millisecond, 600*time.Millisecond), func() {
		if ordered.alive && w.startedAt.Equal(incarnation) {
			ordered.core.MarkWorkerGone(m.now, w.id, "its host was taken down")
		}
	})
	m.after(m.between(0, 1500*time.Millisecond), func() { m.delist(w) })
	m.replaceWorker(w)
}

// delist ends the registration of a worker that has left.
func (m *model) delist(w *modelWorker) {
	if w.left {
		delete(m.fleet.listed, w.id)
	}
}

// replaceWorker starts another worker for one that has left, or the same one again. The
// platform lists it a while after that.
func (m *model) replaceWorker(w *modelWorker) {
	m.after(m.between(time.Second, 5*time.Second), func() {
		if m.random.IntN(3) == 0 {
			m.restart(w)
			w.left, w.replaced = false, false
		} else {
			m.fleet.workerCount++
			w = m.newWorker(fmt.Sprint("w", m.fleet.workerCount-1))
			w.capacity.MilliCores = m.fleetCapacity()
			if m.hasKinds() {
				w.label = modelLabels[m.random.IntN(len(modelLabels))]
			}
			m.workers = append(m.workers, w)
			if m.owner.alive {
				m.owner.poll(w)
			}
		}
		m.after(m.between(0, time.Second), func() { m.relist(w) })
	})
}

// relist lists a worker as it is now, unless it has left meanwhile.
func (m *model) relist(w *modelWorker) {
	if !w.left {
		m.fleet.list(m, w)
	}
}

const (
	drainInterval = 200 * time.Millisecond
	// maxClosing is the greatest number of workers that are drained at a time.
	maxClosing = 2
)

// drainHosts begins to drain workers, ends those that are empty, and gives some up. It
// goes on in calm times.
func (m *model) drainHosts() {
	f := m.fleet
	if living := m.living(); len(f.closing) < maxClosing && len(living)-len(f.closing) > minLiving && m.random.IntN(20) == 0 {
		f.closing[living[m.random.IntN(len(living))].id] = true
	}
	if m.owner.alive {
		m.owner.core.SetClosing(maps.Clone(f.closing))
	}
	for _, id := range slices.Sorted(maps.Keys(f.closing)) {
		w := m.findWorker(id)
		occupancy := m.owner.core.Occupancy(m.now, id)
		switch {
		case m.owner.alive && occupancy.Known && occupancy.Runs == 0 && len(m.living()) > minLiving && m.random.IntN(5) == 0:
			m.takeDown(w)
		case m.random.IntN(40) == 0:
			delete(f.closing, id)
		}
	}
	m.after(drainInterval, m.drainHosts)
}
