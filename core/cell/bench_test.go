package cell_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyrock/core/works"
)

// BenchmarkDecideInSurge measures a decision while 80 almost full workers leave the tasks of
// hundreds of jobs waiting.
func BenchmarkDecideInSurge(b *testing.B) {
	h := newHarness(&testing.T{}, 80, nil)
	for range 10 { // a batch holds the rows of 20 workers
		h.flush()
	}
	large, second := step(8), step(8, 0)
	large.Need.MilliCores, second.Need.MilliCores = 1500, 1500 // some capacity of each worker stays free
	for i := range 600 {
		h.AddJob(h.now, job(fmt.Sprintf("%016x", i), large, second), 9)
	}
	h.Decide(h.now)
	for b.Loop() {
		h.advance(time.Microsecond)
		h.Decide(h.now)
	}
}

// BenchmarkDecideBesideHopelessTasks measures a decision while 80 idle workers leave the
// tasks of 100 jobs waiting, which can run on none of them.
func BenchmarkDecideBesideHopelessTasks(b *testing.B) {
	large, labelled := step(8), step(8)
	large.Need.MilliCores, labelled.Label = 9000, "none"
	for name, s := range map[string]works.Step{"too large": large, "unknown label": labelled} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(&testing.T{}, 80, nil)
			for range 10 {
				h.flush()
			}
			for i := range 100 {
				h.AddJob(h.now, job(fmt.Sprintf("%016x", i), s), 9)
			}
			h.decideWhileWaiting(nil)
			for b.Loop() {
				h.advance(time.Microsecond)
				h.Decide(h.now)
			}
		})
	}
}

// BenchmarkDecideBesideRefusedSteps measures a decision while 80 idle workers leave 100 steps
// waiting, which the adviser allows on none of them.
func BenchmarkDecideBesideRefusedSteps(b *testing.B) {
	p := newPolicyWorld(&testing.T{}, 80)
	for range 10 {
		p.flush()
	}
	for i := range 100 {
		p.add(fmt.Sprintf("%016x", i), step(8))
	}
	p.pass(3 * time.Second)
	for b.Loop() {
		p.advance(time.Microsecond)
		for _, o := range p.Decide(p.now) {
			p.handle(o)
		}
	}
}

// TestShortageHidesNoFreeWorker guards against small tasks that wait because larger ones
// of the same round found no room.
func TestShortageHidesNoFreeWorker(t *testing.T) {
	b := newHarness(t, 2, nil)
	large := step(3)
	large.Need.MilliCores = 3000
	b.AddJob(b.now, job("a", large), 8)
	b.AddJob(b.now, job("b", step(2)), 9)
	if n := len(b.startTasks()); n != 4 {
		t.Errorf("%d tasks started, want 2 of 3 cores and 2 of 1 core", n)
	}
}

// BenchmarkDecideBesideReservations measures a decision while 80 almost full workers leave 20
// persistent tasks, for which workers are reserved, and the tasks of 600 jobs waiting.
func BenchmarkDecideBesideReservations(b *testing.B) {
	h := newHarness(&testing.T{}, 80, nil)
	for range 10 {
		h.flush()
	}
	large := step(8)
	large.Need.MilliCores = 1500
	for i := range 40 {
		h.AddJob(h.now, job(fmt.Sprintf("%016x", i), large), 9)
	}
	h.startTasks()
	for i := range 20 {
		h.AddJob(h.now, job(fmt.Sprint("lasting", i), persistentStep(1, 0, 3000)), 9)
	}
	for i := range 600 {
		h.AddJob(h.now, job(fmt.Sprintf("%016x", 100+i), large), 9)
	}
	h.Decide(h.now)
	for b.Loop() {
		h.advance(time.Microsecond)
		h.Decide(h.now)
	}
}

// BenchmarkDecideBesideRoomyReservations measures a decision while workers with some room are reserved
// for persistent tasks, and tasks that the picker does not serve wait for that room.
func BenchmarkDecideBesideRoomyReservations(b *testing.B) {
	h := newHarness(&testing.T{}, 400, nil)
	for range 40 {
		h.flush()
	}
	full, waits := step(8), step(8)
	full.Need.MilliCores, waits.Need.MilliCores = 1200, 350 // 400 of 4000 stay free on each worker
	waits.MaxPerWorker = 1
	for i := range 150 {
		h.AddJob(h.now, job(fmt.Sprintf("%016x", i), full), 9)
	}
	h.startTasks()
	for i := range 400 {
		h.AddJob(h.now, job(fmt.Sprint("lasting", i), persistentStep(1, 0, 3900)), 9)
	}
	for i := range 300 {
		h.AddJob(h.now, job(fmt.Sprintf("%016x", 1000+i), waits), 9)
	}
	h.Decide(h.now)
	for b.Loop() {
		h.advance(time.Microsecond)
		h.Decide(h.now)
	}
}
