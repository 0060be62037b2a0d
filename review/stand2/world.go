//go:build review2

package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world holds the platform, its executors and the record of all that was sent, answered
// and run.
type world struct {
	mu        sync.Mutex
	began     time.Time
	record    *os.File
	store     *store
	machines  []*machine
	executors map[string]*executor
	lives     int
	jobs      map[string]*job
	// policies holds, by queue, which executors may run its steps. A queue without a
	// policy needs no advice.
	policies    map[string]func(e *executor) bool
	adviceValid time.Duration   // of tickets (ValidMs)
	services    map[string]bool // the queues' services that a configuration named
	queues      map[string]queue
	// bothInTouch is false if a holder of a machine may not be in touch, so that the rule on
	// turns within LeaseMs does not hold.
	bothInTouch bool
	waves       map[int64]*waveState
	broken      []string
	advising    sync.Mutex
	// runs holds the runs of each task that go on.
	runs map[string][]*runAt
	// acked holds the tasks whose end "done" was taken note of.
	acked map[string]bool
	done  map[string]bool // tasks with an end "done"
}

type runAt struct {
	e *executor
	r *taskRun
}

// queue is a route of the configuration.
type queue struct {
	Name, Prefix, Service string
	Attempts              int
	Advised               bool
}

// step is a step of a job, as a client sends it.
type step struct {
	Count         int
	Cpu           int
	MemMb         int
	EstimateMs    int    `json:",omitempty"`
	After         []int  `json:",omitempty"`
	Checkpoints   bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	MaxPerServer  int    `json:",omitempty"`
	Persistent    bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`
	// lasts is how long a task runs.
	lasts time.Duration
}

// job is a job that a client hands in.
type job struct {
	id         string
	queue      string
	spec       string
	steps      []step
	times      int
	first      time.Time
	every      time.Duration
	accepted   bool
	acceptedAt time.Time
	answers    []int // of the attempts to hand it in
	cancelled  time.Time
	cancelSent time.Time
	starts     int
	gangs      map[string]map[string]*runAt // by step and run number, by task
	saved      map[string]bool
	failing    bool // all runs end failed
	failures   int  // ends failed of the first task
}

func (j *job) need(step int) (cpu, mem int) { return j.steps[step].Cpu, j.steps[step].MemMb }

func newWorld(record *os.File) *world {
	w := &world{
		adviceValid: 10 * time.Second, bothInTouch: true,
		began: time.Now(), record: record, store: newStore(), executors: map[string]*executor{}, jobs: map[string]*job{},
		policies: map[string]func(*executor) bool{}, services: map[string]bool{}, queues: map[string]queue{}, waves: map[int64]*waveState{},
		runs: map[string][]*runAt{}, acked: map[string]bool{}, done: map[string]bool{},
	}
	w.store.onStatus = w.checkWave
	return w
}

// checkWave checks a status row of a wave that was written.
func (w *world) checkWave(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("status %s %s", key, value)
	var n int64
	if _, err := fmt.Sscanf(key, "wave/%d", &n); err != nil || w.waves[n] == nil || !strings.Contains(string(value), "completed") {
		return
	}
	for _, m := range w.waves[n].machines {
		if !w.waves[n].begun[m] {
			w.breaks("MIXED", "wave %d is said to be completed, and %s has not begun its upkeep", n, m)
		}
	}
}

// note writes a line to the record. The caller holds the lock.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

// breaks records that a rule was broken. The caller holds the lock.
func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.note("BROKEN %s", text)
	w.broken = append(w.broken, text)
}

// parseTask splits the name of a task.
func parseTask(name string) (id string, k, step, index int, ok bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return "", 0, 0, 0, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil {
			return "", 0, 0, 0, false
		}
		n[i] = v
	}
	return p[0], n[0], n[1], n[2], true
}

// stepName returns the name of the step of a task.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// findTask returns the job and the step of a task, or nil. The caller holds the lock.
func (w *world) findTask(name string) (*job, int) {
	id, k, st, i, ok := parseTask(name)
	j := w.jobs[id]
	if !ok || j == nil || st >= len(j.steps) || i >= j.steps[st].Count || k >= max(1, j.times) {
		return nil, 0
	}
	return j, st
}

// beginRun begins a run that an executor has accepted, and checks it. The caller holds
// the lock.
func (w *world) beginRun(e *executor, o *order) {
	j, st := w.findTask(o.Task)
	w.note("start %s run %d on %s (%s) spec %q from %q fence %d", o.Task, o.Run, e.id, e.service, o.Spec, o.LastCheckpoint, o.Fence)
	if j == nil {
		w.breaks("UNASKED", "%s was handed in by no client", o.Task)
		return
	}
	_, k, _, _, _ := parseTask(o.Task)
	s := &j.steps[st]
	j.starts++
	if o.Spec != j.spec {
		w.breaks("UNASKED", "%s is started with another Spec", o.Task)
	}
	if o.LastCheckpoint != "" && !j.saved[o.LastCheckpoint] {
		w.breaks("UNASKED", "%s is started with the checkpoint %q", o.Task, o.LastCheckpoint)
	}
	for _, other := range w.runs[o.Task] {
		if !other.e.dead {
			w.breaks("TWICE", "%s run %d on %s while run %d is on %s", o.Task, o.Run, e.id, other.r.number, other.e.id)
		}
	}
	if w.acked[o.Task] && !s.Persistent {
		w.breaks("TWICE", "%s run %d starts after an end done was taken note of", o.Task, o.Run)
	}
	for _, a := range s.After {
		for i := range j.steps[a].Count {
			if t := fmt.Sprintf("%s.%d.%d.%d", j.id, k, a, i); !w.done[t] {
				w.breaks("ORDER", "%s starts before %s has ended done", o.Task, t)
			}
		}
	}
	if j.times > 0 {
		if due := j.first.Add(time.Duration(k) * j.every); time.Until(due) > 250*time.Millisecond {
			w.breaks("ORDER", "%s starts %v before its time", o.Task, time.Until(due))
		}
	}
	if !e.hasLabel(s.RequiredLabel) {
		w.breaks("ROUTE", "%s starts on %s with labels %v", o.Task, e.id, e.labels)
	}
	if s.MaxPerServer > 0 {
		n := 1
		for _, r := range e.running {
			if stepName(r.task) == stepName(o.Task) {
				n++
			}
		}
		if n > s.MaxPerServer {
			w.breaks("ROUTE", "%s is the %dth of its step on %s", o.Task, n, e.id)
		}
	}
	if !w.services[w.queues[j.queue].Name+"/"+e.service] {
		w.breaks("ROUTE", "%s starts on %s of %s", o.Task, e.id, e.service)
	}
	r := &taskRun{task: o.Task, number: o.Run, job: j, step: st, began: time.Now()}
	e.running[o.Task] = r
	at := &runAt{e, r}
	w.runs[o.Task] = append(w.runs[o.Task], at)
	if !s.Gang {
		w.work(at)
		return
	}
	w.joinGang(at)
}

// work lets a run work until its task is done. The caller holds the lock.
func (w *world) work(at *runAt) {
	at.r.waiting = false
	s := &at.r.job.steps[at.r.step]
	if s.Persistent {
		return
	}
	at.r.timer = time.AfterFunc(s.lasts, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case at.r.over:
		case at.r.job.failing:
			at.r.job.failures++
			w.endRun(at.e, at.r, "failed", true)
		default:
			w.endRun(at.e, at.r, "done", true)
		}
	})
}

// joinGang adds a run to its gang, which works once it is complete. The caller holds the
// lock.
func (w *world) joinGang(at *runAt) {
	j := at.r.job
	key := fmt.Sprintf("%s/%d", stepName(at.r.task), at.r.number)
	members := j.gangs[key]
	if members == nil {
		members = map[string]*runAt{}
		j.gangs[key] = members
	}
	members[at.r.task] = at
	at.r.waiting = true
	if len(members) == j.steps[at.r.step].Count {
		for _, m := range members {
			w.work(m)
		}
		return
	}
	time.AfterFunc(gangWait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if at.r.waiting && !at.r.over {
			w.endRun(at.e, at.r, "alone", true)
		}
	})
}

// endRun ends a run. The caller holds the lock.
func (w *world) endRun(e *executor, r *taskRun, how string, listed bool) {
	if r.over {
		return
	}
	r.over = true
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.job.steps[r.step].Checkpoints && how != "done" {
		r.saved = fmt.Sprintf("cp-%s-%d", r.task, r.number)
		r.job.saved[r.saved] = true
	}
	w.note("end %s run %d on %s: %s", r.task, r.number, e.id, how)
	if e.running[r.task] == r {
		delete(e.running, r.task)
	}
	w.runs[r.task] = slices.DeleteFunc(w.runs[r.task], func(a *runAt) bool { return a.r == r })
	if listed {
		e.addEnd(r, how)
	}
	s := &r.job.steps[r.step]
	if how == "done" {
		w.done[r.task] = true
	}
	if !s.Gang {
		return
	}
	members := r.job.gangs[fmt.Sprintf("%s/%d", stepName(r.task), r.number)]
	complete := len(members) == s.Count
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for _, m := range members {
		if complete && !m.r.over && !m.r.waiting {
			w.endRun(m.e, m.r, other, !m.e.dead)
		}
	}
	delete(members, r.task)
}

// noteSeen records that an end was taken note of. The caller holds the lock.
func (w *world) noteSeen(x endRow) {
	if x.how == "done" {
		w.acked[x.task] = true
	}
}
