package cell_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
)

// BenchmarkOwnerInSurge measures what one second of a surge costs the owner of a pool, by the
// number of its workers: decisions, starts, renewals with their reports, and commits. Each
// worker runs seven tasks of a second. The jobs that wait hold the same work again.
func BenchmarkOwnerInSurge(b *testing.B) {
	for _, workers := range []int{300, 650, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := newSurge(workers)
			for range 20 {
				s.step() // the first tasks start
			}
			starts := s.starts
			b.ResetTimer()
			for b.Loop() {
				for range surgeSteps {
					s.step()
				}
			}
			b.ReportMetric(float64(s.starts-starts)/float64(b.N), "starts/op")
		})
	}
}

const (
	// surgeSteps is the number of steps of a surge in one second, each with a decision.
	surgeSteps = 20
	// flushesPerStep is the number of commits in a step.
	flushesPerStep = 3
)

// surge is a cell under a load that its workers can just carry.
type surge struct {
	h       *harness
	jobs    int
	starts  int
	running map[string][]rock.Run
	ends    map[string][]rock.End
	ended   map[string]int64
	due     [][]surgeRun // the runs that end, by step
	now     int
	// arrivals is the number of jobs that arrive in a step, and owed what is left of it.
	arrivals float64
	owed     float64
}

type surgeRun struct {
	worker string
	run    rock.Run
}

// newSurge returns a surge on that many workers.
func newSurge(workers int) *surge {
	s := &surge{
		h: newHarness(&testing.T{}, workers, nil), running: map[string][]rock.Run{}, ends: map[string][]rock.End{}, ended: map[string]int64{},
		due: make([][]surgeRun, surgeSteps+1), arrivals: float64(7*workers) / 16 / surgeSteps,
	}
	for range workers/20 + 2 { // a batch holds the rows of 20 workers
		s.h.flush()
	}
	for range 2 * workers {
		s.addJob()
	}
	return s
}

// addJob adds a job of two steps of eight tasks, of which a worker has room for seven.
func (s *surge) addJob() {
	first, second := step(8), step(8, 0)
	first.Need.MilliCores, second.Need.MilliCores = 570, 570
	s.jobs++
	s.h.AddJob(s.h.now, job(fmt.Sprintf("%016x", s.jobs), first, second), uint64(10+s.jobs))
}

// step plays a twentieth of a second.
func (s *surge) step() {
	h := s.h
	h.advance(time.Second / surgeSteps)
	s.now++
	for _, o := range h.Decide(h.now) {
		if o.Kind != "start" {
			continue
		}
		h.HandleReply(h.now, o, rock.Reply{Clock: h.clock()}, nil)
		r := rock.Run{Task: o.Start.Task, Run: o.Start.Run, Percent: 100}
		s.running[o.Worker.ID] = append(s.running[o.Worker.ID], r)
		at := (s.now + surgeSteps - 1) % len(s.due)
		s.due[at] = append(s.due[at], surgeRun{o.Worker.ID, r})
		s.starts++
	}
	at := s.now % len(s.due)
	for _, r := range s.due[at] {
		s.end(r)
	}
	s.due[at] = s.due[at][:0]
	for id := range h.Workers() {
		if _, order, ok := h.HoldOrder(h.now, id, 0); ok {
			s.report(id, order.AckedUpTo)
		}
	}
	for range flushesPerStep {
		h.flush()
	}
	h.Load(h.now)
	for s.owed += s.arrivals; s.owed >= 1; s.owed-- {
		s.addJob()
	}
}

// end ends a run.
func (s *surge) end(r surgeRun) {
	list := s.running[r.worker]
	for i := range list {
		if list[i].Task == r.run.Task {
			list[i] = list[len(list)-1]
			s.running[r.worker] = list[:len(list)-1]
			break
		}
	}
	s.ended[r.worker]++
	s.ends[r.worker] = append(s.ends[r.worker], rock.End{Number: s.ended[r.worker], Task: r.run.Task, Run: r.run.Run, Reason: rock.EndDone})
}

// report passes a worker's report to the cell.
func (s *surge) report(id string, acked int64) {
	for len(s.ends[id]) > 0 && s.ends[id][0].Number <= acked {
		s.ends[id] = s.ends[id][1:]
	}
	s.h.HandleReport(s.h.now, s.h.now, id, rock.Report{Clock: s.h.clock(), WorkerStartedAt: start, Running: s.running[id], Ended: s.ends[id]})
}
