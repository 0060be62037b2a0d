//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the platform, from the settings of a small deployment.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond // at most StopMs
	gangTime    = 3 * time.Second        // GangMs
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
	executorCPU = 32000
	executorMB  = 65536
)

// step is a step of a submitted job, as it is sent.
type step struct {
	Count      int   `json:"Count"`
	Cpu        int   `json:"Cpu,omitempty"`
	MemMb      int   `json:"MemMb,omitempty"`
	EstimateMs int   `json:"EstimateMs,omitempty"`
	After      []int `json:"After,omitempty"`
	Persistent bool  `json:"Persistent,omitempty"`
	MayMiss    int   `json:"MayMiss,omitempty"`
	Gang       bool  `json:"Gang,omitempty"`

	MaxPerServer int `json:"MaxPerServer,omitempty"`

	// work is how long a task runs, and failures how many of the first runs of each
	// task of the step fail by their own fault.
	work     time.Duration
	failures int
}

// start is a start that an executor has begun.
type start struct {
	at       time.Time
	executor string
	service  string
	run      int64
	ended    time.Time
	how      string
}

// machine is a machine of the fleet and its executor, which is nil while it is away.
type machine struct {
	name, pool, zone, rack, state string
	exec                          *executor
}

// machineOrder is a call about a machine.
type machineOrder struct {
	at              time.Time
	machine, holder string
	token           uint64
}

// fleet is a stand-in for the executors and the calls about machines.
type fleet struct {
	store *store
	log   *recorder

	mu       sync.Mutex
	machines []*machine
	lives    int
	jobs     map[string][]step
	starts   map[string][]*start // by task
	upkeeps  map[string]bool
	gangs    map[string]map[*run]*executor // members of a gang's run that are present
	orders   []machineOrder
	standby  string
}

// executor is one life of an executor.
type executor struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	rack    string
	addr    string
	server  *http.Server
	born    time.Time

	mu       sync.Mutex
	dead     bool
	fence    uint64
	lease    time.Time
	timer    *time.Timer
	running  map[string]*run
	last     map[string]int64 // highest run stopped or ended, by task
	ended    []end
	next     int64
	changed  chan struct{}
	cpu, mem int
}

type run struct {
	task  string
	run   int64
	step  step
	start *start
	timer *time.Timer
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

func newFleet(s *store, log *recorder, standby string) *fleet {
	return &fleet{store: s, log: log, jobs: map[string][]step{}, starts: map[string][]*start{}, upkeeps: map[string]bool{}, gangs: map[string]map[*run]*executor{}, standby: standby}
}

func (f *fleet) addMachine(pool, zone string, i int) {
	m := &machine{name: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, zone: zone, rack: fmt.Sprintf("r-%s-%d", pool, i/4), state: "up"}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	if pool != f.standby {
		f.boot(m)
	}
}

// boot starts an executor on a machine and registers it.
func (f *fleet) boot(m *machine) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	f.lives++
	x := &executor{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a0000+f.lives), service: m.pool, zone: m.zone, rack: m.rack, addr: l.Addr().String(), born: time.Now(),
		running: map[string]*run{}, last: map[string]int64{}, changed: make(chan struct{}), next: 1,
	}
	m.exec, m.state = x, "up"
	f.mu.Unlock()
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(l) }()
	go x.register()
}

func (x *executor) register() {
	for seq := 1; ; seq++ {
		x.mu.Lock()
		if x.dead {
			x.mu.Unlock()
			return
		}
		x.fleet.store.put("servers", x.id, map[string]any{
			"Service": x.service, "Addr": x.addr, "Zone": x.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]int{"Cpu": executorCPU, "MemMb": executorMB, "Gpu": 0}, "Labels": []string{"a", x.rack},
			"ClockMs": x.clock(), "Seq": seq, "born": x.born.UnixMilli(),
		})
		x.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// kill ends an executor and all that runs on it.
func (x *executor) kill() {
	x.mu.Lock()
	x.dead = true
	for _, r := range x.running {
		r.timer.Stop()
		x.note(r, "killed")
	}
	x.running = map[string]*run{}
	x.mu.Unlock()
	_ = x.server.Close()
	x.fleet.store.remove("servers", x.id)
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// note records the end of a run. The caller holds the lock.
func (x *executor) note(r *run, how string) {
	x.cpu -= r.step.Cpu
	x.mem -= r.step.MemMb
	x.fleet.mu.Lock()
	r.start.ended, r.start.how = time.Now(), how
	if r.step.Gang {
		x.fleet.leaveGang(r, how)
	}
	x.fleet.mu.Unlock()
	x.fleet.log.detail(r.task, "%s run %d ends %s on %s (%s)", r.task, r.run, how, x.id, x.service)
}

// finish ends a run, which is listed. The caller holds the lock.
func (x *executor) finish(r *run, how string) {
	if x.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(x.running, r.task)
	x.last[r.task] = max(x.last[r.task], r.run)
	x.ended = append(x.ended, end{x.next, r.task, r.run, how})
	x.next++
	x.note(r, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

type order struct {
	Task           string
	Run            int64
	Spec           string
	UntilMs        int64
	Fence          uint64
	SeenUpto       int64
	WaitMs         int64
	LastCheckpoint string
	Percent        int
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != x.id {
		http.Error(w, "another instance", http.StatusMisdirectedRequest)
		return
	}
	hold := r.URL.Path == "/-/hold"
	reason := x.handle(r.URL.Path, o)
	if hold && reason == "" {
		x.wait(r.Context(), o)
	}
	x.mu.Lock()
	body := map[string]any{"ClockMs": x.clock(), "born": x.born.UnixMilli()}
	if hold {
		runs, ends := [][]any{}, [][]any{}
		for _, r := range x.running {
			runs = append(runs, []any{r.task, r.run, "", 100, r.step.Cpu})
		}
		for _, e := range x.ended[:min(len(x.ended), 500)] {
			ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
		}
		body["Running"], body["Ended"] = runs, ends
	}
	x.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["Reason"] = http.StatusConflict, reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (x *executor) handle(path string, o order) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.dead {
		panic(http.ErrAbortHandler)
	}
	if o.Fence < x.fence {
		return "fence"
	}
	x.fence = o.Fence
	switch path {
	case "/-/run-start":
		return x.begin(o)
	case "/-/run-stop":
		x.last[o.Task] = max(x.last[o.Task], o.Run)
		if r := x.running[o.Task]; r != nil && r.run <= o.Run {
			time.AfterFunc(stopTime, func() {
				x.mu.Lock()
				defer x.mu.Unlock()
				x.finish(r, "stopped")
			})
		}
	case "/-/hold":
		x.extend(o.UntilMs)
		for len(x.ended) > 0 && x.ended[0].n <= o.SeenUpto {
			x.ended = x.ended[1:]
		}
	}
	return ""
}

func (x *executor) extend(untilMs int64) {
	until := x.born.Add(time.Duration(untilMs) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if !until.After(x.lease) {
		return
	}
	x.lease = until
	if x.timer != nil {
		x.timer.Stop()
	}
	x.timer = time.AfterFunc(time.Until(until), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if time.Now().Before(x.lease) || x.dead {
			return
		}
		for _, r := range x.running {
			x.finish(r, "lapsed")
		}
	})
}

func (x *executor) begin(o order) string {
	if r := x.running[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Run <= x.last[o.Task] {
		x.extend(o.UntilMs)
		return "old"
	}
	if o.UntilMs <= x.clock() {
		return "late"
	}
	x.extend(o.UntilMs)
	f := x.fleet
	f.mu.Lock()
	job, number, _ := splitTask(o.Task)
	s := step{Cpu: 1000, MemMb: 100, work: time.Second}
	if steps := f.jobs[job]; number < len(steps) {
		s = steps[number]
	}
	if x.cpu+s.Cpu > executorCPU || x.mem+s.MemMb > executorMB {
		f.mu.Unlock()
		return "room"
	}
	began := &start{at: time.Now(), executor: x.id, service: x.service, run: o.Run}
	f.starts[o.Task] = append(f.starts[o.Task], began)
	failed := 0
	for _, b := range f.starts[o.Task] {
		if b.how == "failed" {
			failed++
		}
	}
	x.cpu += s.Cpu
	x.mem += s.MemMb
	work, how := s.work, "done"
	if s.Persistent {
		work = time.Hour
	}
	if failed < s.failures {
		how = "failed"
	}
	r := &run{task: o.Task, run: o.Run, step: s, start: began}
	x.running[o.Task] = r
	after := func(x *executor, r *run, d time.Duration, how string) *time.Timer {
		return time.AfterFunc(d, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(r, how)
		})
	}
	switch {
	case !s.Gang:
		r.timer = after(x, r, work, how)
	case f.joinGang(x, r) == s.Count:
		r.timer = after(x, r, work, how)
		for m, other := range f.gangs[r.gang()] {
			if m != r {
				m.timer.Stop()
				m.timer = after(other, m, work, how)
			}
		}
	default:
		r.timer = after(x, r, gangTime, "alone")
	}
	f.mu.Unlock()
	f.log.detail(o.Task, "%s run %d starts on %s (%s), fence %d", o.Task, o.Run, x.id, x.service, o.Fence)
	return ""
}

// gang identifies the run of a gang to which a run belongs.
func (r *run) gang() string {
	return fmt.Sprintf("%s/%d", r.task[:strings.LastIndexByte(r.task, '.')], r.run)
}

// joinGang adds a run to its gang and returns the number of those present. The caller
// holds the lock.
func (f *fleet) joinGang(x *executor, r *run) int {
	g := f.gangs[r.gang()]
	if g == nil {
		g = map[*run]*executor{}
		f.gangs[r.gang()] = g
	}
	g[r] = x
	return len(g)
}

// leaveGang removes a run that has ended from its gang, and breaks the others unless it
// is done. The caller holds the lock.
func (f *fleet) leaveGang(r *run, how string) {
	g := f.gangs[r.gang()]
	delete(g, r)
	if how == "done" {
		return
	}
	for m, x := range g {
		go func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(m, "broken")
		}()
	}
}

func splitTask(name string) (job string, step, index int) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return name, 0, 0
	}
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], step, index
}

func (x *executor) wait(ctx context.Context, o order) {
	x.mu.Lock()
	empty, changed := len(x.ended) == 0, x.changed
	x.mu.Unlock()
	if !empty || o.WaitMs <= 0 {
		return
	}
	select {
	case <-changed:
	case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
	case <-ctx.Done():
	}
}

// ServeHTTP serves the calls about machines.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(12 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		f.mu.Lock()
		list := []map[string]any{}
		for _, m := range f.machines {
			id := ""
			if m.exec != nil {
				id = m.exec.id
			}
			list = append(list, map[string]any{
				"Machine": m.name, "Pool": m.pool, "State": m.state, "Zone": m.zone, "Labels": []string{"a", m.rack}, "Id": id,
				"Capacity": map[string]int{"Cpu": executorCPU, "MemMb": executorMB, "Gpu": 0},
			})
		}
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"Machines": list, "NextToken": nil})
		return
	}
	var o struct {
		Machine, Pool string
		Wave          int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	by := machineOrder{time.Now(), o.Machine, r.Header.Get("X-Duty-Holder"), token}
	f.mu.Lock()
	f.orders = append(f.orders, by)
	f.mu.Unlock()
	status, reason := f.orderMachine(o.Machine, o.Pool, o.Wave, r.URL.Path == "/-/machine-upkeep")
	f.log.printf("cloud", "%s of %s (pool %q, wave %d) by %s with token %d: %d %s", r.URL.Path, o.Machine, o.Pool, o.Wave, by.holder, token, status, reason)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"Reason": reason})
}

func (f *fleet) orderMachine(name, pool string, wave int64, upkeep bool) (int, string) {
	f.mu.Lock()
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		f.mu.Unlock()
		return http.StatusBadRequest, "no such machine"
	}
	m := f.machines[i]
	key := fmt.Sprintf("%d/%s", wave, name)
	switch {
	case !upkeep && m.pool == pool, upkeep && f.upkeeps[key]:
		f.mu.Unlock()
		return http.StatusOK, ""
	case m.state != "up":
		f.mu.Unlock()
		return http.StatusConflict, "busy"
	}
	x, away := m.exec, moveTime
	m.exec, m.state = nil, "moving"
	if upkeep {
		f.upkeeps[key], m.state, away = true, "upkeep", upkeepTime
	} else {
		m.pool = pool
	}
	f.mu.Unlock()
	if x != nil {
		x.kill()
	}
	time.AfterFunc(away, func() {
		if m.pool == f.standby {
			f.mu.Lock()
			m.state = "up"
			f.mu.Unlock()
			return
		}
		f.boot(m)
	})
	return http.StatusOK, ""
}

// runningTasks returns the numbers of running tasks of each job.
func (f *fleet) runningTasks() map[string]int {
	n := map[string]int{}
	for _, x := range f.executors() {
		x.mu.Lock()
		for t := range x.running {
			job, _, _ := splitTask(t)
			n[job]++
		}
		x.mu.Unlock()
	}
	return n
}

// room returns the thousandths of cores in use and in all of a service's executors.
func (f *fleet) room(service string) (used, all int) {
	for _, x := range f.executors() {
		if x.service != service {
			continue
		}
		x.mu.Lock()
		used += x.cpu
		x.mu.Unlock()
		all += executorCPU
	}
	return used, all
}

func (f *fleet) executors() []*executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*executor
	for _, m := range f.machines {
		if m.exec != nil {
			list = append(list, m.exec)
		}
	}
	return list
}

// startsOf returns copies of the starts of a job's tasks.
func (f *fleet) startsOf(job string) map[string][]start {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string][]start{}
	for t, list := range f.starts {
		if j, _, _ := splitTask(t); j == job {
			for _, s := range list {
				all[t] = append(all[t], *s)
			}
		}
	}
	return all
}
