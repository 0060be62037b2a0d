package tenure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

// The model simulates entries that take over and renew one cell, in virtual time. The
// parts of the platform's table, which are the cell's homes, fail independently.
const (
	modelTick    = 10 * time.Millisecond
	modelEntries = 4
	modelTimeout = 300 * time.Millisecond
)

// modelHome holds the rows of a home. The home cannot be read or written until
// downUntil.
type modelHome struct {
	owner          tenure.Owner
	ownerVersion   uint64
	record         tenure.Record
	renewalVersion uint64
	downUntil      time.Time
}

// modelWrite is a conditional write to a home that is under way.
type modelWrite struct {
	entry            *modelEntry
	home             int
	owner            *tenure.Owner // nil if only the renewal is written
	record           tenure.Record
	ifOwnerVersion   uint64
	ifRenewalVersion uint64
	applyAt          time.Time
	sentAt           time.Time
	// answered is false if the answer of the write is lost.
	answered bool
	applied  bool
}

// modelEntry is an entry. It is suspended until suspendedUntil, and cannot reach the
// table until partitionedUntil.
type modelEntry struct {
	me               tenure.Owner
	challenger       tenure.Challenger
	lease            *tenure.Lease
	suspendedUntil   time.Time
	partitionedUntil time.Time
	readAt           time.Time
	answeredSince    time.Time
	// toAcquire holds the homes that are still to be taken over.
	toAcquire []int
	acquired  []tenure.AcquiredHome
	record    tenure.Record
	inFlight  map[int]*modelWrite
	// unreconciled holds the homes whose rows are to be read.
	unreconciled map[int]bool
	// copyAt is when the copy of all state to a new main home ends.
	copyAt time.Time
}

// model is the state of the simulation.
type model struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	now          time.Time
	version      uint64
	homes        [tenure.HomeCount]modelHome
	entries      []*modelEntry
	writes       []*modelWrite
	fence        uint64
	owned        time.Duration
	injectFaults func(m *model)
}

func newModel(t *testing.T, seed uint64, faults func(m *model)) *model {
	m := &model{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), now: start, injectFaults: faults}
	for i := range modelEntries {
		m.entries = append(m.entries, &modelEntry{me: tenure.Owner{Name: fmt.Sprint("e", i), Session: "s"}, inFlight: map[int]*modelWrite{}, unreconciled: map[int]bool{}})
	}
	return m
}

func (m *model) down(home int) bool { return m.now.Before(m.homes[home].downUntil) }

// send sends a write. Some writes are applied late, and some answers are lost.
func (m *model) send(e *modelEntry, home int, w modelWrite) {
	w.entry, w.home, w.sentAt, w.answered = e, home, m.now, true
	w.applyAt = m.now.Add(time.Duration(1+m.random.IntN(3)) * modelTick)
	switch m.random.IntN(40) {
	case 0:
		w.applyAt = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
	case 1:
		w.answered = false
	}
	e.inFlight[home] = &w
	m.writes = append(m.writes, &w)
}

// applyWrites applies the writes whose time has come and delivers their answers.
func (m *model) applyWrites() {
	var left, answered []*modelWrite
	for _, w := range m.writes {
		h := &m.homes[w.home]
		switch {
		case m.now.Before(w.applyAt):
			left = append(left, w)
			continue
		case m.down(w.home) || m.now.Before(w.entry.partitionedUntil):
			w.answered = false
			if m.random.IntN(2) == 0 {
				w.applyAt = m.now.Add(time.Duration(m.random.IntN(3000)) * time.Millisecond)
				left = append(left, w)
			}
			continue
		case h.ownerVersion == w.ifOwnerVersion && h.renewalVersion == w.ifRenewalVersion:
			m.version++
			h.record, h.renewalVersion = w.record, m.version
			if w.owner != nil {
				h.owner, h.ownerVersion = *w.owner, m.version
			}
			w.applied = true
		}
		answered = append(answered, w)
	}
	m.writes = left
	for _, w := range answered {
		if w.answered && w.entry.inFlight[w.home] == w && !m.now.Before(w.entry.suspendedUntil) {
			m.deliverAnswer(w)
		}
	}
}

// deliverAnswer passes the outcome of a write to its entry.
func (m *model) deliverAnswer(w *modelWrite) {
	e := w.entry
	delete(e.inFlight, w.home)
	if len(e.toAcquire) > 0 {
		m.finishAcquisition(e, w.applied, w)
		return
	}
	switch {
	case e.lease == nil:
	case w.applied:
		e.lease.CompleteWrite(w.home, m.homes[w.home].renewalVersion)
	default:
		e.unreconciled[w.home] = true
	}
}

// finishAcquisition handles the outcome of the takeover of a home. After the last
// home, the entry owns the cell, and its fence must be greater than all former ones.
func (m *model) finishAcquisition(e *modelEntry, ok bool, w *modelWrite) {
	if !ok {
		e.toAcquire, e.acquired = nil, nil
		m.readHomes(e)
		return
	}
	e.acquired = append(e.acquired, tenure.AcquiredHome{Home: w.home, Version: m.homes[w.home].ownerVersion, SentAt: w.sentAt})
	e.toAcquire = e.toAcquire[1:]
	if len(e.toAcquire) > 0 {
		m.acquireNext(e)
		return
	}
	e.lease = tenure.NewLease(e.record, e.acquired)
	e.acquired = nil
	e.lease.CompleteCopy()
	assert.Assert(m.t, e.lease.Fence() > m.fence, "seed %d: fence %d after %d", m.seed, e.lease.Fence(), m.fence)
	m.fence = e.lease.Fence()
	for _, h := range e.lease.ExcludedHomes() {
		e.unreconciled[h] = true
	}
}

// acquireNext sends the takeover of the entry's next home.
func (m *model) acquireNext(e *modelEntry) {
	h := e.toAcquire[0]
	owner, renewal := e.challenger.Home(h).Versions()
	m.send(e, h, modelWrite{owner: &e.me, record: e.record, ifOwnerVersion: owner, ifRenewalVersion: renewal})
}

// readHomes lets an entry read the rows of all homes that are not down.
func (m *model) readHomes(e *modelEntry) {
	if m.now.Before(e.partitionedUntil) {
		e.answeredSince = time.Time{}
		return
	}
	if e.answeredSince.IsZero() {
		e.answeredSince = m.now
	}
	for i := range m.homes {
		h := &m.homes[i]
		if m.down(i) {
			continue
		}
		if h.renewalVersion > 0 {
			e.challenger.ObserveOwner(m.now, i, h.owner, h.ownerVersion)
			e.challenger.ObserveRenewal(m.now, i, h.record, h.renewalVersion)
		}
		e.challenger.ObserveRead(m.now, i)
	}
}

// act performs one step of an entry. The entry's takeover delay is 0.1 s times i.
func (m *model) act(i int, e *modelEntry) {
	if m.now.Before(e.suspendedUntil) {
		return
	}
	if m.now.Sub(e.readAt) >= 250*time.Millisecond {
		e.readAt = m.now
		m.readHomes(e)
	}
	for h, w := range e.inFlight {
		if m.now.Sub(w.sentAt) < modelTimeout {
			continue
		}
		delete(e.inFlight, h)
		switch {
		case len(e.toAcquire) > 0:
			e.toAcquire, e.acquired = nil, nil
			e.challenger.ObserveFailure(h)
		case e.lease != nil:
			e.unreconciled[h] = true
		}
	}
	if e.lease == nil {
		delay := time.Duration(i) * 100 * time.Millisecond
		if len(e.toAcquire) == 0 && len(e.inFlight) == 0 && e.challenger.NextAction(m.now, e.me, e.answeredSince, delay) == tenure.Acquire {
			e.record = e.challenger.Record()
			e.toAcquire = e.record.Homes
			m.acquireNext(e)
		}
		return
	}
	m.actAsOwner(e)
}

// actAsOwner performs one step of an owner.
func (m *model) actAsOwner(e *modelEntry) {
	if !m.now.Before(e.lease.ValidUntil().Add(3 * time.Second)) {
		e.lease = nil // it expired 3 s ago
		clear(e.unreconciled)
		clear(e.inFlight)
		return
	}
	for h := range e.unreconciled {
		if m.down(h) || m.now.Before(e.partitionedUntil) {
			continue
		}
		delete(e.unreconciled, h)
		r := &m.homes[h]
		if e.lease.Reconcile(h, r.owner == e.me, r.ownerVersion, r.renewalVersion) {
			e.lease = nil
			clear(e.unreconciled)
			clear(e.inFlight)
			return
		}
	}
	if e.lease.SwitchMain(m.now) {
		e.copyAt = m.now.Add(200 * time.Millisecond)
	}
	if !e.copyAt.IsZero() && m.now.After(e.copyAt) {
		e.copyAt = time.Time{}
		e.lease.CompleteCopy()
	}
	e.lease.ExcludeUnresponsive(m.now)
	for _, h := range e.lease.HomesToRenew(m.now, m.random.IntN(10) == 0) {
		owner, renewal := e.lease.Versions(h)
		w := modelWrite{ifOwnerVersion: owner, ifRenewalVersion: renewal}
		if e.lease.IsJoining(h) {
			w.owner = &e.me
		}
		w.record = e.lease.BeginWrite(m.now, h)
		m.send(e, h, w)
	}
}

// check fails the test if two entries may act as the owner.
func (m *model) check() {
	acting := 0
	for _, e := range m.entries {
		if e.lease != nil && m.now.Before(e.lease.ValidUntil()) {
			acting++
		}
	}
	assert.Assert(m.t, acting <= 1, "seed %d: %d owners at %v", m.seed, acting, m.now.Sub(start))
	if acting == 1 {
		m.owned += modelTick
	}
}

func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelTick) {
		m.injectFaults(m)
		m.applyWrites()
		for i, e := range m.entries {
			m.act(i, e)
		}
		m.check()
	}
}

// randomFaults takes homes down, and suspends, partitions and replaces entries.
func randomFaults(m *model) {
	until := func() time.Time { return m.now.Add(time.Duration(m.random.IntN(7000)) * time.Millisecond) }
	switch m.random.IntN(900) {
	case 0, 1, 2:
		m.homes[m.random.IntN(tenure.HomeCount)].downUntil = until()
	case 3:
		m.entries[m.random.IntN(modelEntries)].suspendedUntil = until()
	case 4:
		m.entries[m.random.IntN(modelEntries)].partitionedUntil = until()
	case 5:
		e := m.entries[m.random.IntN(modelEntries)] // a new process in its place
		*e = modelEntry{me: tenure.Owner{Name: e.me.Name, Session: fmt.Sprint(m.now.UnixNano())}, inFlight: map[int]*modelWrite{}, unreconciled: map[int]bool{}}
	}
}

// TestOneOwner guards against two owners at a time, fences that do not grow, and a cell
// that stays without an owner after the faults. It simulates random schedules of homes
// that are down, lost and late writes, and suspended, partitioned and replaced entries.
func TestOneOwner(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		m := newModel(t, seed, randomFaults)
		m.run(60 * time.Second)
		m.injectFaults = func(*model) {}
		m.run(14 * time.Second)
		before := m.owned
		m.run(2 * time.Second)
		assert.Equal(t, m.owned-before, 2*time.Second, "seed %d: the cell has no owner", seed)
	}
}

// TestOwnerOutlastsOutagesOfParts guards against a loss of ownership because one home
// is down. With each home down in turn, the owner must go on, and a challenger must
// take over the cell when the owner is suspended.
func TestOwnerOutlastsOutagesOfParts(t *testing.T) {
	for home := range tenure.HomeCount {
		m := newModel(t, uint64(home), func(*model) {})
		m.run(3 * time.Second)
		m.homes[home].downUntil = m.now.Add(8 * time.Second)
		before := m.owned
		m.run(4 * time.Second)
		assert.Equal(t, m.owned-before, 4*time.Second, "home %d: the owner stops while it is down", home)
		for _, e := range m.entries {
			if e.lease != nil {
				e.suspendedUntil = m.now.Add(time.Minute)
			}
		}
		m.run(4 * time.Second) // about 2.0 s until the takeover timeout, and 0.5 s for the takeover
		assert.Assert(t, m.owned-before > 7*time.Second, "home %d: owned for %v of 8 s", home, m.owned-before)
		m.run(3 * time.Second)
		m.homes[(home+1)%tenure.HomeCount].downUntil = m.now.Add(4 * time.Second)
		before = m.owned
		m.run(4 * time.Second)
		assert.Equal(t, m.owned-before, 4*time.Second, "home %d: the owner stops while the next one is down", home)
	}
}
