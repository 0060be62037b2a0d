package work

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/trace"
)

// Worker is one target in memory. It is safe for concurrent use.
type Worker struct {
	settings Settings

	mu         sync.Mutex
	random     *rand.Rand
	faults     Faults
	tasks      map[string]*task
	running    map[string]*task
	ended      []string
	revoked    map[string]bool
	revocation []revocation
	runs       []Run
	pool       string
	generation uint64
	loads      []rock.Usage
}

// New returns a worker with free slots.
func New(s Settings) *Worker {
	return &Worker{
		settings: s.withDefaults(),
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
		tasks:    map[string]*task{},
		running:  map[string]*task{},
		revoked:  map[string]bool{},
	}
}

// Name returns the host's name.
func (w *Worker) Name() string { return w.settings.Name }

// SetFaults replaces the switches.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the switches.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Runs returns the ledger: all tasks started, in order.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.settings.Now())
	return append([]Run{}, w.runs...)
}

// Leases returns the number of running tasks, without lag.
func (w *Worker) Leases() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.settings.Now())
	return len(w.running)
}

// Usage returns the lagging report of the load.
func (w *Worker) Usage(now time.Time) rock.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	w.noteLoad(now)
	until := now.Add(-w.settings.UsageLag)
	i := 0
	for i+1 < len(w.loads) && !w.loads[i+1].AsOf().After(until) {
		i++
	}
	w.loads = w.loads[i:]
	return w.loads[0]
}

// Reboot ends all running tasks as failed.
func (w *Worker) Reboot(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	for id := range w.running {
		w.end(id, now, rock.TaskFailed)
	}
}

// start starts a task and tells the faults that hit it. A refusal has verdict
// not_run. A task whose id is known is not started again.
func (w *Worker) start(now time.Time, t rock.Task, holders int) (Faults, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	f := w.hit()
	if known, ok := w.tasks[t.ID()]; ok {
		known.holders += holders
		return f, nil
	}
	if err := w.check(now, t, f); err != nil {
		w.forbid(now, t.ID())
		return f, err
	}
	if t.Generation() >= w.generation {
		w.pool, w.generation = t.Pool(), t.Generation()
	}
	p := parsePayload(t.Payload())
	k := &task{
		run:     len(w.runs),
		payload: p,
		state:   rock.TaskRunning,
		start:   now,
		length:  p.length(w.settings.ServiceTime),
		lease:   t.Lease(),
		renewed: now,
		holders: holders,
	}
	w.tasks[t.ID()], w.running[t.ID()] = k, k
	w.runs = append(w.runs, Run{
		Host: w.settings.Name, TaskID: t.ID(), Key: p.Key, Pool: t.Pool(),
		Generation: t.Generation(), Start: now, State: rock.TaskRunning,
	})
	if f.FailFast || p.Fail {
		w.end(t.ID(), now, rock.TaskFailed)
	}
	w.settle(now)
	w.noteLoad(now)
	return f, nil
}

// hit returns the faults that hit the next task. The caller holds the lock.
func (w *Worker) hit() Faults {
	if s := w.faults.Share; s > 0 && w.random.Float64() >= s {
		return Faults{Down: w.faults.Down}
	}
	return w.faults
}

// check returns why the task is refused before its start.
func (w *Worker) check(now time.Time, t rock.Task, f Faults) error {
	refuse := func(r rock.Reason) *rock.Failure {
		return rock.Fail("start task", fmt.Sprintf("%s on %s", t.ID(), w.settings.Name), r, rock.NotRun)
	}
	if t.ID() == "" {
		return refuse(rock.BadInput).Becausef("task id is missing")
	}
	if w.revoked[t.ID()] {
		return refuse(rock.Cancelled).Becausef("task was revoked")
	}
	if f.Refuse {
		return refuse(rock.Unavailable).Becausef("target refuses work")
	}
	if !t.Deadline().IsZero() && !now.Before(t.Deadline()) {
		return refuse(rock.DeadlineExceeded)
	}
	if !w.settings.Unfenced && w.older(t) {
		return refuse(rock.Fenced).Becausef("generation %d of pool %s is known, not %d of %s",
			w.generation, w.pool, t.Generation(), t.Pool())
	}
	if len(w.running) >= w.settings.Slots {
		return refuse(rock.Overloaded).Becausef("all %d slots are taken", w.settings.Slots)
	}
	return nil
}

// older reports whether a newer generation is known than the task's, or
// another pool of the same generation.
func (w *Worker) older(t rock.Task) bool {
	return t.Generation() < w.generation || t.Generation() == w.generation && w.pool != "" && t.Pool() != w.pool
}

// settle ends the tasks whose time is over and forgets old ones. The caller
// holds the lock.
func (w *Worker) settle(now time.Time) {
	for id, t := range w.running {
		if at, state := t.endsAt(); !at.After(now) {
			w.end(id, at, state)
		}
	}
	for len(w.ended) > 0 && now.Sub(w.runs[w.tasks[w.ended[0]].run].End) > w.settings.Retain {
		delete(w.tasks, w.ended[0])
		w.ended = w.ended[1:]
	}
	for len(w.revocation) > 0 && now.Sub(w.revocation[0].at) > w.settings.Retain {
		delete(w.revoked, w.revocation[0].id)
		w.revocation = w.revocation[1:]
	}
}

// end ends a running task. The caller holds the lock.
func (w *Worker) end(id string, at time.Time, state rock.TaskState) {
	t := w.running[id]
	t.state = state
	delete(w.running, id)
	w.ended = append(w.ended, id)
	w.runs[t.run].End = at
	w.runs[t.run].State = state
	if state == rock.TaskDone {
		w.runs[t.run].Digest = trace.Digest(t.payload.answer())
	}
	w.noteLoad(at)
}

// noteLoad keeps the load for the lagging report. The caller holds the lock.
func (w *Worker) noteLoad(at time.Time) {
	if n := len(w.loads); n > 0 && at.Before(w.loads[n-1].AsOf()) {
		at = w.loads[n-1].AsOf()
	}
	until := at.Add(-w.settings.UsageLag)
	for len(w.loads) > 1 && !w.loads[1].AsOf().After(until) {
		w.loads = w.loads[1:]
	}
	w.loads = append(w.loads, rock.NewUsage(len(w.running), w.settings.Slots, at))
}
