package cell_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"
)

// modelKinds is the part of the model's state that adds more kinds of steps and faults
// to a fleet whose workers come and go.
type modelKinds struct {
	// storeDown is true while batches fail, stored or not.
	storeDown bool
	// adviserDown is true while queries to the adviser fail.
	adviserDown bool
}

// newKindsModel returns a model of a fleet with all kinds of steps and faults.
func newKindsModel(t *testing.T, seed uint64) *model {
	m := newFleetModel(t, seed)
	m.fleet.kinds = &modelKinds{}
	for i, w := range m.workers {
		w.label = modelLabels[i%len(modelLabels)]
		w.capacity.MilliCores = m.fleetCapacity()
		m.fleet.list(m, w)
	}
	m.after(3*time.Second, m.injectKinds)
	return m
}

// hasKinds reports whether the model has all kinds of steps and faults.
func (m *model) hasKinds() bool { return m.fleet != nil && m.fleet.kinds != nil }

// modelLabels holds the labels of workers.
var modelLabels = []string{"even", "odd"}

// ticketQueue is the queue whose tasks need tickets, and plainQueue the other one.
const (
	ticketQueue = "t"
	plainQueue  = "q"
)

// kindsSpec returns a random job and its queue.
func (m *model) kindsSpec() (works.Spec, string) {
	spec := m.fleetSpec()
	queue := plainQueue
	if m.random.IntN(5) == 0 && !spec.Persistent() {
		queue = ticketQueue
	}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if m.random.IntN(6) == 0 {
			s.Label = modelLabels[m.random.IntN(len(modelLabels))]
		}
		if s.Persistent {
			if m.random.IntN(2) == 0 {
				s.Need.MilliCores += 2000
			}
			continue
		}
		switch m.random.IntN(6) {
		case 0:
			s.MaxPerWorker = 1 + m.random.IntN(2)
		case 1:
			s.Gang, s.Count = true, 2+m.random.IntN(2)
		case 2:
			s.Count, s.Need.MilliCores = 1, int64(4000+1000*m.random.IntN(3))
		}
	}
	return spec, queue
}

// allows reports whether the adviser's policy allows a step on a worker. Where queues change, some
// steps may run on few workers only.
func (m *model) allows(step, worker string) bool {
	h := fnv.New32a()
	fmt.Fprint(h, step, worker)
	if m.queues == nil {
		return h.Sum32()%3 > 0
	}
	narrow := fnv.New32a()
	fmt.Fprint(narrow, step)
	return h.Sum32()%4 == 0 || narrow.Sum32()%2 == 0 && h.Sum32()%4 < 3
}

const modelTicketValidity = 3 * time.Second

// ticket returns a ticket for a step on a worker.
func (m *model) ticket(step string, w *modelWorker) string {
	return fmt.Sprint(step, " ", w.id, " ", w.startedAt.UnixNano(), " ", m.now.Add(modelTicketValidity).UnixNano())
}

// acceptsTicket reports whether a worker accepts the ticket of a start.
func (m *model) acceptsTicket(w *modelWorker, s rock.StartOrder) bool {
	n, _ := works.ParseTaskName(s.Task)
	if m.specs[n.Job].Queue != ticketQueue {
		return true
	}
	var step, id string
	var started, until int64
	if _, err := fmt.Sscan(s.Ticket, &step, &id, &started, &until); err != nil {
		return false
	}
	return id == w.id && started == w.startedAt.UnixNano() && m.now.UnixNano() < until
}

// advise answers a query to the adviser.
func (o *modelOwner) advise(d cell.Order) {
	m := o.m
	m.after(m.between(10*time.Millisecond, 200*time.Millisecond), func() {
		var tickets []rock.Ticket
		var err error
		if m.fleet.kinds.adviserDown {
			err = rock.Fail("advise", d.Step, rock.Unavailable, rock.MayHaveRun)
		} else {
			for _, id := range d.Workers {
				if m.allows(d.Step, id) {
					tickets = append(tickets, rock.Ticket{Worker: id, Ticket: m.ticket(d.Step, m.findWorker(id))})
				}
			}
		}
		o.handle(func() { o.core.HandleAdvice(m.now, d, tickets, modelTicketValidity-200*time.Millisecond, err) })
	})
}

// handle calls a function of the owner, once the owner goes on if it is paused.
func (o *modelOwner) handle(do func()) {
	switch {
	case !o.alive:
	case o.m.now.Before(o.pausedUntil):
		o.delayed++ // keeps the order
		o.m.after(o.pausedUntil.Sub(o.m.now)+time.Duration(o.delayed), func() { o.handle(do) })
	default:
		do()
	}
}

// ranSince reports whether the owner has not been paused since a time.
func (o *modelOwner) ranSince(t time.Time) bool { return o.pausedUntil.Before(t) }

// maxPause is the longest time for which an owner is paused.
const maxPause = 3 * time.Second

// injectKinds causes more kinds of faults in the times of faults. They end with those.
func (m *model) injectKinds() {
	m.after(m.between(300*time.Millisecond, 2*time.Second), m.injectKinds)
	k := m.fleet.kinds
	if !m.fleet.faulty {
		return
	}
	living := m.living()
	w := living[m.random.IntN(len(living))]
	switch m.random.IntN(11) {
	case 0:
		w.orderRefusal = m.anyRefusal()
		m.log("%s refuses orders: %s", w.id, w.orderRefusal)
		m.endLater(w, 6*time.Second, func() { w.orderRefusal = "" })
	case 1:
		w.renewalRefusal = m.anyRefusal()
		m.log("%s refuses renewals: %s", w.id, w.renewalRefusal)
		m.endLater(w, 6*time.Second, func() { w.renewalRefusal = "" })
	case 2:
		for _, w := range living[m.random.IntN(len(living)):] {
			w.failing = true
			m.log("%s fails tasks", w.id)
		}
		m.endSoon(6*time.Second, func() { m.endFailing() })
	case 3:
		w.erring = true
		m.log("%s answers orders with errors", w.id)
		m.endSoon(6*time.Second, func() { w.erring = false })
	case 4:
		w.mute = true
		m.log("%s does not answer orders", w.id)
		m.endSoon(6*time.Second, func() { w.mute = false })
	case 5:
		k.storeDown = true
		m.endSoon(4*time.Second, func() { k.storeDown = false })
	case 6:
		k.adviserDown = true
		m.endSoon(5*time.Second, func() { k.adviserDown = false })
	case 7, 8:
		m.owner.pausedUntil = m.now.Add(m.between(100*time.Millisecond, maxPause))
		m.log("take: the owner is paused until %v", m.owner.pausedUntil.Sub(start))
		m.fault(m.owner.pausedUntil.Sub(m.now))
	case 9:
		m.overlapOwners()
	case 10:
		m.restart(w)
		w.born = w.born.Add(-m.between(0, 5*time.Second)) // its time of day was set back
		m.after(m.between(0, time.Second), func() { m.relist(w) })
	}
}

// anyRefusal returns a refusal for a reason of the worker's own.
func (m *model) anyRefusal() rock.Refusal {
	if m.random.IntN(2) == 0 {
		return rock.RefusedOther
	}
	return rock.RefusedBusy
}

// endSoon ends a fault of the whole fleet within the given time.
func (m *model) endSoon(most time.Duration, end func()) {
	d := m.between(100*time.Millisecond, most)
	m.after(d, func() {
		end()
		m.fault(0)
	})
	m.fault(d)
}

func (m *model) endFailing() {
	for _, w := range m.workers {
		w.failing = false
	}
}

// endKinds ends the faults that are active, except the lasting ones.
func (m *model) endKinds() {
	*m.fleet.kinds = modelKinds{}
	m.endFailing()
	m.owner.pausedUntil = m.now
	for _, w := range m.workers {
		w.erring, w.mute = false, false
		if !w.lasting {
			w.orderRefusal, w.renewalRefusal = "", ""
		}
	}
}

// overlapOwners makes a new owner take over before the present one notices.
func (m *model) overlapOwners() {
	former := m.owner
	if !former.alive {
		return
	}
	d := m.between(10*time.Millisecond, 800*time.Millisecond)
	m.after(d, func() { former.alive = false })
	m.fault(d)
	m.log("take: two owners overlap for %v", d)
	m.takeOver()
}

// kindSeeds holds seeds that have failed: in the first ones tasks waited for good, in the
// next one a task was stopped on the word of a report from before a pause, in the last one a start was
// ordered on a worker that drains while its registration is missing, which is allowed.
var kindSeeds = []uint64{22, 41, 97, 4082, 80271}

// TestRandomFleetKinds guards against tasks that wait for good although most of the fleet
// is free, with steps and faults of all kinds.
func TestRandomFleetKinds(t *testing.T) {
	seeds := slices.Clone(kindSeeds)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newKindsModel(t, seed).run() })
	}
}
