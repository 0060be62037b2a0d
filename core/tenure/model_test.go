package tenure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

// The model plays entries that take and keep one cell on a table whose parts fail
// on their own, in virtual time.
const (
	modelTick    = 10 * time.Millisecond
	modelEntries = 4
	modelTimeout = 300 * time.Millisecond
)

// modelHome is one home's rows.
type modelHome struct {
	owner     tenure.Owner
	ownerVer  uint64
	record    tenure.Record
	beatVer   uint64
	downUntil time.Time
}

// modelWrite is a write under way.
type modelWrite struct {
	entry   *modelEntry
	home    int
	owner   *tenure.Owner // nil if only the renewal is written
	record  tenure.Record
	ifOwner uint64
	ifBeat  uint64
	applyAt time.Time
	sentAt  time.Time
	// answered is false if the answer is lost.
	answered bool
	applied  bool
}

// modelEntry is an entry.
type modelEntry struct {
	me      tenure.Owner
	claim   tenure.Challenger
	lease   *tenure.Lease
	pausedT time.Time
	cutT    time.Time
	readAt  time.Time
	since   time.Time
	// taking are the homes that are still to be taken.
	taking []int
	taken  []tenure.AcquiredHome
	record tenure.Record
	flight map[int]*modelWrite
	// doubts holds the homes whose rows are to be read.
	doubts map[int]bool
	// copyAt is when all state is written to the main home, if it changed.
	copyAt time.Time
}

// model is the whole.
type model struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	version uint64
	homes   [tenure.HomeCount]modelHome
	entries []*modelEntry
	writes  []*modelWrite
	fence   uint64
	owned   time.Duration
	faults  func(m *model)
}

func newModel(t *testing.T, seed uint64, faults func(m *model)) *model {
	m := &model{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), now: start, faults: faults}
	for i := range modelEntries {
		m.entries = append(m.entries, &modelEntry{me: tenure.Owner{Name: fmt.Sprint("e", i), Session: "s"}, flight: map[int]*modelWrite{}, doubts: map[int]bool{}})
	}
	return m
}

func (m *model) down(home int) bool { return m.now.Before(m.homes[home].downUntil) }

// send sends a write. Some are made late, and some answers are lost.
func (m *model) send(e *modelEntry, home int, w modelWrite) {
	w.entry, w.home, w.sentAt, w.answered = e, home, m.now, true
	w.applyAt = m.now.Add(time.Duration(1+m.random.IntN(3)) * modelTick)
	switch m.random.IntN(40) {
	case 0:
		w.applyAt = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
	case 1:
		w.answered = false
	}
	e.flight[home] = &w
	m.writes = append(m.writes, &w)
}

// apply makes the writes that are due.
func (m *model) apply() {
	var left, answered []*modelWrite
	for _, w := range m.writes {
		h := &m.homes[w.home]
		switch {
		case m.now.Before(w.applyAt):
			left = append(left, w)
			continue
		case m.down(w.home) || m.now.Before(w.entry.cutT):
			w.answered = false
			if m.random.IntN(2) == 0 {
				w.applyAt = m.now.Add(time.Duration(m.random.IntN(3000)) * time.Millisecond)
				left = append(left, w)
			}
			continue
		case h.ownerVer == w.ifOwner && h.beatVer == w.ifBeat:
			m.version++
			h.record, h.beatVer = w.record, m.version
			if w.owner != nil {
				h.owner, h.ownerVer = *w.owner, m.version
			}
			w.applied = true
		}
		answered = append(answered, w)
	}
	m.writes = left
	for _, w := range answered {
		if w.answered && w.entry.flight[w.home] == w && !m.now.Before(w.entry.pausedT) {
			m.answer(w)
		}
	}
}

// answer hands the outcome of a write to its entry.
func (m *model) answer(w *modelWrite) {
	e := w.entry
	delete(e.flight, w.home)
	if len(e.taking) > 0 {
		m.tookOne(e, w.applied, w)
		return
	}
	switch {
	case e.lease == nil:
	case w.applied:
		e.lease.CompleteWrite(w.home, m.homes[w.home].beatVer)
	default:
		e.doubts[w.home] = true
	}
}

func (m *model) tookOne(e *modelEntry, ok bool, w *modelWrite) {
	if !ok {
		e.taking, e.taken = nil, nil
		m.read(e)
		return
	}
	e.taken = append(e.taken, tenure.AcquiredHome{Home: w.home, Version: m.homes[w.home].ownerVer, SentAt: w.sentAt})
	e.taking = e.taking[1:]
	if len(e.taking) > 0 {
		m.take(e)
		return
	}
	e.lease = tenure.NewLease(e.record, e.taken)
	e.taken = nil
	e.lease.CompleteCopy()
	assert.Assert(m.t, e.lease.Fence() > m.fence, "seed %d: fence %d after %d", m.seed, e.lease.Fence(), m.fence)
	m.fence = e.lease.Fence()
	for _, h := range e.lease.ExcludedHomes() {
		e.doubts[h] = true
	}
}

func (m *model) take(e *modelEntry) {
	h := e.taking[0]
	owner, beat := e.claim.Home(h).Versions()
	m.send(e, h, modelWrite{owner: &e.me, record: e.record, ifOwner: owner, ifBeat: beat})
}

// read tells an entry what the table holds.
func (m *model) read(e *modelEntry) {
	if m.now.Before(e.cutT) {
		e.since = time.Time{}
		return
	}
	if e.since.IsZero() {
		e.since = m.now
	}
	for i := range m.homes {
		h := &m.homes[i]
		if m.down(i) {
			continue
		}
		if h.beatVer == 0 {
			e.claim.ObserveEmpty(m.now, i)
			continue
		}
		e.claim.ObserveOwner(m.now, i, h.owner, h.ownerVer)
		e.claim.ObserveRenewal(m.now, i, h.record, h.beatVer)
	}
}

// step lets an entry act.
func (m *model) step(i int, e *modelEntry) {
	if m.now.Before(e.pausedT) {
		return
	}
	if m.now.Sub(e.readAt) >= 250*time.Millisecond {
		e.readAt = m.now
		m.read(e)
	}
	for h, w := range e.flight {
		if m.now.Sub(w.sentAt) < modelTimeout {
			continue
		}
		delete(e.flight, h)
		switch {
		case len(e.taking) > 0:
			e.taking, e.taken = nil, nil
		case e.lease != nil:
			e.doubts[h] = true
		}
	}
	if e.lease == nil {
		delay := time.Duration(i) * 100 * time.Millisecond
		if len(e.taking) == 0 && len(e.flight) == 0 && e.claim.NextAction(m.now, e.me, e.since, delay) == tenure.Acquire {
			e.record = e.claim.Record()
			e.taking = e.record.Homes
			m.take(e)
		}
		return
	}
	m.own(e)
}

// own renews what an owner has.
func (m *model) own(e *modelEntry) {
	if !m.now.Before(e.lease.ValidUntil().Add(3 * time.Second)) {
		e.lease = nil // it has long been over
		clear(e.doubts)
		clear(e.flight)
		return
	}
	for h := range e.doubts {
		if m.down(h) || m.now.Before(e.cutT) {
			continue
		}
		delete(e.doubts, h)
		r := &m.homes[h]
		if e.lease.Reconcile(h, r.owner == e.me, r.ownerVer, r.beatVer) {
			e.lease = nil
			clear(e.doubts)
			clear(e.flight)
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
		owner, beat := e.lease.Versions(h)
		w := modelWrite{ifOwner: owner, ifBeat: beat}
		if e.lease.IsJoining(h) {
			w.owner = &e.me
		}
		w.record = e.lease.BeginWrite(m.now, h)
		m.send(e, h, w)
	}
}

// check fails the test if two entries act.
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

func (m *model) play(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelTick) {
		m.faults(m)
		m.apply()
		for i, e := range m.entries {
			m.step(i, e)
		}
		m.check()
	}
}

// chaos lets parts fail, and freezes and cuts entries.
func chaos(m *model) {
	until := func() time.Time { return m.now.Add(time.Duration(m.random.IntN(7000)) * time.Millisecond) }
	switch m.random.IntN(900) {
	case 0, 1, 2:
		m.homes[m.random.IntN(tenure.HomeCount)].downUntil = until()
	case 3:
		m.entries[m.random.IntN(modelEntries)].pausedT = until()
	case 4:
		m.entries[m.random.IntN(modelEntries)].cutT = until()
	case 5:
		e := m.entries[m.random.IntN(modelEntries)] // a new process in its place
		*e = modelEntry{me: tenure.Owner{Name: e.me.Name, Session: fmt.Sprint(m.now.UnixNano())}, flight: map[int]*modelWrite{}, doubts: map[int]bool{}}
	}
}

// TestOneOwner plays schedules of outages of parts, lost and late writes, and frozen,
// cut and replaced entries. Never do two entries own the cell, fences grow, and the
// cell has an owner again once the faults are over.
func TestOneOwner(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		m := newModel(t, seed, chaos)
		m.play(60 * time.Second)
		m.faults = func(*model) {}
		m.play(14 * time.Second)
		before := m.owned
		m.play(2 * time.Second)
		assert.Equal(t, m.owned-before, 2*time.Second, "seed %d: the cell has no owner", seed)
	}
}

// TestOwnerOutlastsOutagesOfParts takes one home down after the other. The owner goes
// on, and a challenger takes the cell although one home is down.
func TestOwnerOutlastsOutagesOfParts(t *testing.T) {
	for home := range tenure.HomeCount {
		m := newModel(t, uint64(home), func(*model) {})
		m.play(3 * time.Second)
		m.homes[home].downUntil = m.now.Add(8 * time.Second)
		before := m.owned
		m.play(4 * time.Second)
		assert.Equal(t, m.owned-before, 4*time.Second, "home %d: the owner stops while it is down", home)
		for _, e := range m.entries {
			if e.lease != nil {
				e.pausedT = m.now.Add(time.Minute)
			}
		}
		m.play(4 * time.Second) // 2.0 s until it is over, 0.5 s until another has it
		assert.Assert(t, m.owned-before > 7*time.Second, "home %d: owned for %v of 8 s", home, m.owned-before)
		m.play(3 * time.Second)
		m.homes[(home+1)%tenure.HomeCount].downUntil = m.now.Add(4 * time.Second)
		before = m.owned
		m.play(4 * time.Second)
		assert.Equal(t, m.owned-before, 4*time.Second, "home %d: the owner stops while the next one is down", home)
	}
}
