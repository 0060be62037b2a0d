//go:build review2

package main

import (
	"fmt"
	"time"
)

// finish is how long after the end of the traffic the rule LOST is checked (finish_s), and
// stallTime how long a job may have nothing running.
const (
	finish    = 14 * time.Second
	stallTime = 3 * time.Second
)

// stalled reports whether a job has nothing running while the turn of a task has come, there
// is capacity for its waiting tasks twice over, and under half of the service's capacity is
// in use. Only executors count on which the tasks may run. The caller holds the lock.
func (w *world) stalled(j *job) bool {
	service := w.queues[j.queue].Service
	for k := range max(1, j.times) {
		for st := range j.steps {
			for i := range j.steps[st].Count {
				if len(w.runs[fmt.Sprintf("%s.%d.%d.%d", j.id, k, st, i)]) > 0 {
					return false
				}
			}
		}
	}
	usedCPU, usedMem, allCPU, allMem := 0, 0, 0, 0
	for _, m := range w.machines {
		e := m.executor
		if e == nil || m.pool != service || m.state != "up" {
			continue
		}
		cpu, mem := e.used()
		usedCPU, usedMem, allCPU, allMem = usedCPU+cpu, usedMem+mem, allCPU+executorCPU, allMem+executorMem
	}
	if 2*usedCPU >= allCPU || 2*usedMem >= allMem {
		return false
	}
	for st := range j.steps {
		if n := w.waiting(j, st); n > 0 && w.room(j, st, service) >= 2*n {
			return true
		}
	}
	return false
}

// waiting returns the number of tasks of a step whose turn has come and that are not done.
// The caller holds the lock.
func (w *world) waiting(j *job, st int) int {
	s, n := &j.steps[st], 0
	for k := range max(1, j.times) {
		if j.times > 0 && time.Now().Before(j.first.Add(time.Duration(k)*j.every)) {
			continue
		}
		turn := true
		for _, a := range s.After {
			for i := range j.steps[a].Count {
				turn = turn && w.done[fmt.Sprintf("%s.%d.%d.%d", j.id, k, a, i)]
			}
		}
		for i := range s.Count {
			if turn && !w.done[fmt.Sprintf("%s.%d.%d.%d", j.id, k, st, i)] {
				n++
			}
		}
	}
	return n
}

// used returns the resources that are in use on an executor. The caller holds the lock.
func (e *executor) used() (cpu, mem int) {
	for _, r := range e.running {
		c, m := r.job.need(r.step)
		cpu, mem = cpu+c, mem+m
	}
	return cpu, mem
}

// room returns how many more tasks of a step the executors can run that may run it. The
// caller holds the lock.
func (w *world) room(j *job, st int, service string) int {
	s, n := &j.steps[st], 0
	for _, m := range w.machines {
		e := m.executor
		if e == nil || m.pool != service || m.state != "up" || e.dead || e.draining || !e.hasLabel(s.RequiredLabel) {
			continue
		}
		if allowed := w.policies[j.queue]; allowed != nil && !allowed(e) {
			continue
		}
		cpu, mem := e.used()
		fits := min((executorCPU-cpu)/max(1, s.Cpu), (executorMem-mem)/max(1, s.MemMb))
		if s.MaxPerServer > 0 {
			fits = min(fits, s.MaxPerServer)
		}
		n += fits
	}
	return n
}

// checkFinished checks the rule LOST from finish after the end of the traffic on: none of
// the accepted jobs may be stalled for stallTime. The traffic has just ended.
func (p *play) checkFinished(jobs []*job) {
	p.log("end of the traffic")
	time.Sleep(finish)
	stalled := map[*job]int{}
	const samples = 30
	for range samples {
		p.locked(func() {
			for _, j := range jobs {
				if j.accepted && j.cancelSent.IsZero() && p.stalled(j) {
					stalled[j]++
				}
			}
		})
		time.Sleep(stallTime / samples)
	}
	for _, j := range jobs {
		state := p.caller.state(j)
		p.locked(func() {
			p.note("job %s of queue %s: %d starts, stalled in %d of %d samples, shown as %q", j.id, j.queue, j.starts, stalled[j], samples, state)
			if stalled[j] == samples {
				p.breaks("LOST", "job %s of queue %s is shown as %q and had nothing running for %v, though there is room; %d of its tasks were started", j.id, j.queue, state, stallTime, j.starts)
			}
		})
	}
}

// locked calls f while it holds the lock of the world.
func (p *play) locked(f func()) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	f()
}
