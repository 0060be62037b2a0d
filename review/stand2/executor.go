//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

// Bounds of a small deployment, from its sheet.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTime    = 100 * time.Millisecond // at most StopMs, 400 ms
	gangWait    = 3 * time.Second
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
	executorCPU = 32000
	executorMem = 65536
)

// taskRun is a run of a task on an executor.
type taskRun struct {
	task    string
	number  int64
	job     *job
	step    int
	began   time.Time
	waiting bool // for the other members of its gang
	over    bool
	timer   *time.Timer
	saved   string
}

// endRow is the end of a run that an executor lists.
type endRow struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
}

// executor is one life of a machine. The lock of the world guards its fields.
type executor struct {
	w        *world
	id       string
	machine  *machine
	labels   []string
	service  string
	address  string
	listener net.Listener
	server   *http.Server
	born     time.Time

	dead     bool
	draining bool
	seq      int
	fence    uint64
	lease    time.Time
	running  map[string]*taskRun
	ended    []endRow
	ends     int64
	stopped  map[string]int64
	changed  chan struct{}
	tickets  map[string]string
}

// startExecutor starts an executor on a machine. The caller holds the lock.
func (w *world) startExecutor(m *machine, id string) *executor {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &executor{
		w: w, id: id, machine: m, labels: m.labels, service: m.pool, address: l.Addr().String(), listener: l, born: time.Now(),
		running: map[string]*taskRun{}, stopped: map[string]int64{}, changed: make(chan struct{}), tickets: map[string]string{},
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 3 * time.Second}
	m.executor = e
	w.executors[id] = e
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return e
}

func (w *world) newExecutorID() string {
	w.lives++
	return fmt.Sprintf("x-%04d", w.lives)
}

// beat keeps the registration of the executor up to date.
func (e *executor) beat() {
	for {
		e.w.mu.Lock()
		if e.dead {
			e.w.mu.Unlock()
			return
		}
		e.seq++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		row := map[string]any{
			"Service": e.service, "Addr": e.address, "Zone": e.machine.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Seq": e.seq,
			"Capacity": map[string]int{"Cpu": executorCPU, "MemMb": executorMem, "Gpu": 0}, "Labels": e.labels, "ClockMs": e.clock(), "born": e.born.UnixMilli(),
		}
		e.w.mu.Unlock()
		e.w.store.put("servers", e.id, row)
		time.Sleep(heartbeat)
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// kill ends the executor and all that runs on it. The caller holds the lock.
func (e *executor) kill() {
	if e.dead {
		return
	}
	e.dead = true
	for _, r := range e.running {
		e.w.endRun(e, r, "lost", false)
	}
	if e.machine.executor == e {
		e.machine.executor = nil
	}
	go func() { _ = e.server.Close() }()
}

// order is the body of any call to an executor.
type order struct {
	Task           string
	Run            int64
	Spec           string
	UntilMs        int64
	Fence          uint64
	SeenUpto       int64
	WaitMs         int64
	Percent        int
	LastCheckpoint string
	Ticket         string
}

func (e *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	e.w.mu.Lock()
	if e.dead {
		e.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != e.id {
		e.w.mu.Unlock()
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"ClockMs": e.clock()})
		return
	}
	reason := e.handle(r.URL.Path, &o)
	if r.URL.Path == "/-/hold" && reason == "" && o.WaitMs > 0 && len(e.ended) == 0 {
		changed := e.changed
		e.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		e.w.mu.Lock()
		if e.dead {
			e.w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	body := map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli()}
	if r.URL.Path == "/-/hold" && reason == "" {
		body["Running"], body["Ended"] = e.lists()
	}
	e.w.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["Reason"] = http.StatusConflict, reason
	}
	writeJSON(rw, status, body)
}

// handle carries out an order, and returns why it is refused, if it is. The caller holds
// the lock.
func (e *executor) handle(path string, o *order) string {
	if o.Fence < e.fence {
		return "fence"
	}
	e.fence = o.Fence
	switch path {
	case "/-/run-start":
		return e.start(o)
	case "/-/run-stop":
		e.stop(o)
	case "/-/hold":
		e.hold(o)
	}
	return ""
}

// lists returns the lists of runs and ends. The caller holds the lock.
func (e *executor) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, r := range e.running {
		percent := 100
		if r.waiting {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, r.saved, percent, 1})
	}
	for _, x := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, x.saved})
	}
	return running, ended
}

// extend extends the lease. The caller holds the lock.
func (e *executor) extend(untilMs int64) {
	until := e.born.Add(time.Duration(untilMs) * time.Millisecond)
	if most := time.Now().Add(holdMax); until.After(most) {
		until = most
	}
	if !until.After(e.lease) {
		return
	}
	e.lease = until
	time.AfterFunc(time.Until(until)+time.Millisecond, func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		if e.dead || time.Now().Before(e.lease) {
			return
		}
		for _, r := range e.running {
			e.w.endRun(e, r, "lapsed", true)
		}
	})
}

// hold handles a renewal. The caller holds the lock.
func (e *executor) hold(o *order) {
	e.extend(o.UntilMs)
	for len(e.ended) > 0 && e.ended[0].number <= o.SeenUpto {
		e.w.noteSeen(e.ended[0])
		e.ended = e.ended[1:]
	}
}

// start handles a start. The caller holds the lock.
func (e *executor) start(o *order) string {
	if r := e.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= e.stopped[o.Task] {
		e.extend(o.UntilMs)
		return "old"
	}
	if o.UntilMs <= e.clock() {
		return "late"
	}
	cpu, mem := e.used()
	j, step := e.w.findTask(o.Task)
	if j != nil {
		c, m := j.need(step)
		if cpu+c > executorCPU || mem+m > executorMem {
			e.extend(o.UntilMs)
			return "room"
		}
		if advised := e.w.policies[j.queue]; advised != nil && o.Ticket != e.tickets[stepName(o.Task)] {
			return "ticket"
		}
	}
	e.extend(o.UntilMs)
	e.w.beginRun(e, o)
	return ""
}

// stop handles a stop. The caller holds the lock.
func (e *executor) stop(o *order) {
	e.stopped[o.Task] = max(e.stopped[o.Task], o.Run)
	r := e.running[o.Task]
	if r == nil || r.number > o.Run {
		return
	}
	time.AfterFunc(stopTime, func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		if !r.over && !e.dead {
			e.w.endRun(e, r, "stopped", true)
		}
	})
}

// addEnd lists the end of a run. The caller holds the lock.
func (e *executor) addEnd(r *taskRun, how string) {
	e.ends++
	e.stopped[r.task] = max(e.stopped[r.task], r.number)
	e.ended = append(e.ended, endRow{e.ends, r.task, r.number, how, r.saved})
	close(e.changed)
	e.changed = make(chan struct{})
}

// hasLabel reports whether the executor has a label.
func (e *executor) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.labels, label)
}
