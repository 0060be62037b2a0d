//go:build review3

// Command stand3 is the world of the cases of review 3: it starts entries as processes of
// their own on loopback addresses, beside stand-ins of the platform, workers and callers, and
// checks the users' rules by what these see.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramleyrock/platform/stand"
)

// Bounds of a small deployment.
const (
	stopTime    = 400 * time.Millisecond
	maxHold     = 10 * time.Second
	gangTime    = 3 * time.Second
	contactTime = 3 * time.Second
	beatTime    = 1500 * time.Millisecond
	queueHost   = "queues.example"
)

// world is the platform with its workers, the entries and what was seen.
type world struct {
	mu       sync.Mutex
	begun    time.Time
	random   *rand.Rand
	platform *stand.Platform
	record   *os.File
	dir      string
	binary   string
	workers  []*worker
	jobs     map[string]*job
	entries  []*entry
	broken   []string
	stopping bool
	ticked   chan struct{}
	kinds    bool
	version  int
	late     atomic.Int64
	length   time.Duration
}

// step is a step of a submitted job, as on the wire.
type step struct {
	Count         int    `json:"Count"`
	Cpu           int    `json:"Cpu,omitempty"`
	MemMb         int    `json:"MemMb,omitempty"`
	EstimateMs    int    `json:"EstimateMs,omitempty"`
	After         []int  `json:"After,omitempty"`
	Checkpoints   bool   `json:"Checkpoints,omitempty"`
	Gang          bool   `json:"Gang,omitempty"`
	RequiredLabel string `json:"RequiredLabel,omitempty"`
	MaxPerServer  int    `json:"MaxPerServer,omitempty"`
	Persistent    bool   `json:"Persistent,omitempty"`
	MayMiss       int    `json:"MayMiss,omitempty"`
}

// job is what the callers know of a submitted job.
type job struct {
	id, path, spec string
	// pool is the only service to which the queue was ever sent, or "" if there were several.
	pool     string
	steps    []step
	times    int
	first    time.Time
	interval time.Duration
	work     time.Duration
	// fails is how many runs of each task fail.
	fails       int
	attempts    int
	acceptedAt  time.Time
	cancelSent  time.Time
	cancelledAt time.Time
	done        map[string]bool
	failed      map[string]int
	// noted holds the tasks whose end was taken note of in time, and again the starts after an
	// end that was not.
	noted map[string]bool
	again map[string]string
}

// run is a run of a task on a worker.
type run struct {
	task      string
	number    int64
	saved     string
	startedAt time.Time
	worked    time.Duration
	workingAt time.Time // zero while a gang is not complete
	stopAt    time.Time
	need      step
	job       *job
	fails     bool
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
	at     time.Time
}

// worker is an executor. It follows the users' page: leases, fences, the lists of runs and ends.
type worker struct {
	world   *world
	id      string
	pool    string
	kind    string
	rack    string
	address string
	cpu     int
	guards  bool

	alive      bool
	silent     bool
	draining   bool
	born       time.Time
	fence      uint64
	lease      time.Duration
	runs       map[string]*run
	high       map[string]int64
	ends       []end
	nextEnd    int64
	server     *http.Server
	lastChange time.Time
	lapsedAt   time.Time
	grey       bool
	// delay is how late orders are carried out without an answer, and delayShare their percentage.
	delay      time.Duration
	delayShare int
}

// logf writes a line to the record. The caller holds mu.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.begun).Seconds()}, args...)...)
}

// breakRule records that a rule was broken. The caller holds mu.
func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.logf("BROKEN %s", text)
}

func newWorld(seed uint64, dir, binary string) (*world, error) {
	p, err := stand.Start(stand.Layout{Pools: map[string]int{}, Seed: seed})
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "stand3")
	if err != nil {
		return nil, err
	}
	w := &world{begun: time.Now(), random: rand.New(rand.NewPCG(seed, 3)), platform: p, record: record, dir: temp, binary: binary, jobs: map[string]*job{}, ticked: make(chan struct{})}
	go w.tick()
	return w, nil
}

// queue is a route of the configuration.
type queue struct {
	Name, Host, Prefix, Service string
	Priority, Attempts          int
	Stretch, SloMs              float64
}

// configure writes the configuration.
func (w *world) configure(version int, pools []string, guards bool, queues ...queue) {
	services := []map[string]any{}
	for _, p := range pools {
		services = append(services, map[string]any{"Name": p, "RejectsOverload": guards})
	}
	value, _ := json.Marshal(map[string]any{"Version": version, "Routes": queues, "Services": services, "Limits": map[string]any{"MaxBodyBytes": 262144}})
	w.platform.Store().Put("op", "config", value)
}

// addWorker starts a worker.
func (w *world) addWorker(id, pool, kind, rack string, cpu int, guards bool) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{world: w, id: id, pool: pool, kind: kind, rack: rack, cpu: cpu, guards: guards, address: l.Addr().String()}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	k.start(l)
	return k, nil
}

// start begins a life of the worker: it registers, and then serves.
func (k *worker) start(l net.Listener) {
	k.world.mu.Lock()
	k.alive, k.silent, k.draining, k.born, k.fence, k.lease = true, false, false, time.Now(), 0, 0
	k.runs, k.high, k.ends, k.nextEnd = map[string]*run{}, map[string]int64{}, nil, 1
	k.world.logf("worker %s starts as kind %s", k.id, k.kind)
	k.register()
	k.server = &http.Server{Handler: k}
	s := k.server
	k.world.mu.Unlock()
	go func() { _ = s.Serve(l) }()
}

// register writes the worker's entry in the store. The caller holds mu.
func (k *worker) register() {
	state := "ready"
	if k.draining {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"Service": k.pool, "Addr": k.address, "Zone": "z1", "Version": "1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Seq": time.Since(k.born).Milliseconds()/1500 + 1, "Capacity": map[string]int{"Cpu": k.cpu, "MemMb": 65536, "Gpu": 0},
		"Labels": []string{k.kind, k.rack}, "ClockMs": k.clock(), "born": k.born.UnixMilli(),
	})
	k.world.platform.Store().Put("servers", k.id, value)
}

func (k *worker) clock() int64 { return k.since().Milliseconds() }

// since returns the time of the worker's clock, which is 2 % slow.
func (k *worker) since() time.Duration { return time.Since(k.born) * 98 / 100 }

// crash ends the worker's life without a word.
func (k *worker) crash() {
	k.world.mu.Lock()
	k.alive = false
	for t, r := range k.runs {
		k.world.logf("run %s/%d dies with worker %s", t, r.number, k.id)
	}
	k.runs = map[string]*run{}
	s := k.server
	k.world.logf("worker %s crashes", k.id)
	k.world.mu.Unlock()
	_ = s.Close()
}

// restart starts the worker again under its id at its address, as the given kind.
func (k *worker) restart(kind string) error {
	l, err := net.Listen("tcp4", k.address)
	if err != nil {
		return err
	}
	k.world.mu.Lock()
	k.kind = kind
	k.world.mu.Unlock()
	k.start(l)
	return nil
}

type order struct {
	Task, Spec, LastCheckpoint string
	Run, UntilMs               int64
	Fence                      uint64
	SeenUpto, WaitMs           int64
}

// ServeHTTP serves the orders.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := k.world
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if k.silent || !k.alive {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != k.id {
		w.mu.Unlock()
		http.Error(rw, "another executor", http.StatusMisdirectedRequest)
		return
	}
	born, reason := k.born, ""
	lists := r.URL.Path == "/-/hold"
	if d := k.delay; d > 0 && w.random.IntN(100) < k.delayShare {
		w.mu.Unlock()
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if k.born != born || !k.alive || o.Fence < k.fence {
				return
			}
			k.fence = o.Fence
			switch r.URL.Path {
			case "/-/run-start":
				k.startRun(o)
			case "/-/run-stop":
				k.stopRun(o)
			case "/-/hold":
				k.hold(o)
			}
		})
		<-r.Context().Done()
		return
	}
	if o.Fence < k.fence {
		reason = "fence"
	} else {
		k.fence = o.Fence
		switch r.URL.Path {
		case "/-/run-start":
			reason = k.startRun(o)
		case "/-/run-stop":
			k.stopRun(o)
		case "/-/hold":
			k.hold(o)
		}
	}
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); reason == "" && lists && len(k.ends) == 0 && time.Now().Before(until) && r.Context().Err() == nil && k.born == born; {
		c := w.ticked
		w.mu.Unlock()
		<-c
		w.mu.Lock()
	}
	if k.silent || !k.alive || k.born != born {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	body := map[string]any{"ClockMs": k.clock(), "born": k.born.UnixMilli()}
	if lists && reason == "" {
		runs, ends := [][]any{}, [][]any{}
		for _, t := range k.runs {
			runs = append(runs, []any{t.task, t.number, t.saved, 100, 0})
		}
		for _, e := range k.ends[:min(500, len(k.ends))] {
			ends = append(ends, []any{e.number, e.task, e.run, e.how, e.saved})
		}
		body["Running"], body["Ended"] = runs, ends
	}
	w.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["Reason"] = http.StatusConflict, reason
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// extend extends the lease, at most by maxHold. The caller holds mu.
func (k *worker) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, k.since()+maxHold)
	k.lease = max(k.lease, until)
}

func (k *worker) hold(o order) {
	if o.UntilMs > 0 {
		k.extend(o.UntilMs)
	}
	for len(k.ends) > 0 && k.ends[0].number <= o.SeenUpto {
		e := k.ends[0]
		k.ends = k.ends[1:]
		k.world.noteEnd(k, e)
	}
}

func (k *worker) stopRun(o order) {
	k.world.logf("worker %s: stop %s/%d fence %d", k.id, o.Task, o.Run, o.Fence)
	k.high[o.Task] = max(k.high[o.Task], o.Run)
	if r := k.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(time.Duration(50+k.world.random.IntN(300)) * time.Millisecond)
	}
}

// used returns the thousandths of cores in use. The caller holds mu.
func (k *worker) used() int {
	n := 0
	for _, r := range k.runs {
		n += r.need.Cpu
	}
	return n
}

// startRun carries out the order to start a run, and checks it. The caller holds mu.
func (k *worker) startRun(o order) string {
	w := k.world
	if r := k.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.Run <= k.high[o.Task] || k.runs[o.Task] != nil && k.runs[o.Task].number > o.Run:
		k.extend(o.UntilMs)
		return "old"
	case time.Duration(o.UntilMs)*time.Millisecond <= k.since():
		return "late"
	}
	j, s, occurrence, _ := w.find(o.Task)
	if j == nil {
		w.breakRule("UNASKED worker %s starts %s, which nobody sent", k.id, o.Task)
		return "old"
	}
	if k.guards && k.used()+s.Cpu > k.cpu {
		k.extend(o.UntilMs)
		return "room"
	}
	w.logf("worker %s (%s): start %s/%d fence %d checkpoint %q", k.id, k.kind, o.Task, o.Run, o.Fence, o.LastCheckpoint)
	w.checkStart(k, o, j, s, occurrence)
	k.extend(o.UntilMs)
	r := &run{task: o.Task, number: o.Run, saved: o.LastCheckpoint, startedAt: time.Now(), need: s, job: j}
	r.fails = j.failed[o.Task] < j.fails
	if s.Gang {
		r.fails = j.failed[gangPrefix(o.Task)] < j.fails && strings.HasSuffix(o.Task, ".0")
	}
	r.fails = r.fails || k.grey
	if s.Checkpoints && o.LastCheckpoint != "" {
		var ms int64
		_, _ = fmt.Sscanf(o.LastCheckpoint, "c%d", &ms)
		r.worked = time.Duration(ms) * time.Millisecond
	}
	if !s.Gang {
		r.workingAt = r.startedAt
	}
	k.runs[o.Task] = r
	return ""
}

// find returns the job and the step of a task.
func (w *world) find(task string) (*job, step, int, int) {
	var id string
	var occurrence, number, index int
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, step{}, 0, 0
	}
	id = parts[0]
	_, _ = fmt.Sscan(parts[1], &occurrence)
	_, _ = fmt.Sscan(parts[2], &number)
	_, _ = fmt.Sscan(parts[3], &index)
	j := w.jobs[id]
	if j == nil || number >= len(j.steps) || index >= j.steps[number].Count || occurrence >= max(1, j.times) {
		return nil, step{}, 0, 0
	}
	return j, j.steps[number], occurrence, number
}

// checkStart checks a start by the users' rules. The caller holds mu.
func (w *world) checkStart(k *worker, o order, j *job, s step, occurrence int) {
	if o.Spec != j.spec {
		w.breakRule("UNASKED worker %s starts %s with another Spec", k.id, o.Task)
	}
	for _, other := range w.workers {
		if r := other.runs[o.Task]; other.alive && r != nil {
			w.breakRule("TWICE %s/%d starts on %s and %s/%d runs on %s", o.Task, o.Run, k.id, o.Task, r.number, other.id)
		}
	}
	switch {
	case j.noted[o.Task]:
		w.breakRule("TWICE %s/%d starts on %s after a run has ended done, which was taken note of", o.Task, o.Run, k.id)
	case j.done[o.Task]:
		j.again[o.Task] = fmt.Sprintf("%s/%d starts on %s", o.Task, o.Run, k.id)
	}
	if j.pool != "" && j.pool != k.pool {
		w.breakRule("ROUTE %s/%d of a queue of %s starts on %s, an executor of %s", o.Task, o.Run, j.pool, k.id, k.pool)
	}
	if s.RequiredLabel != "" && s.RequiredLabel != k.kind && s.RequiredLabel != k.rack {
		w.breakRule("ROUTE %s/%d needs the label %s and starts on %s, which has %s", o.Task, o.Run, s.RequiredLabel, k.id, k.kind)
	}
	if s.MaxPerServer > 0 {
		n := 1
		prefix := o.Task[:strings.LastIndex(o.Task, ".")+1]
		for t := range k.runs {
			if strings.HasPrefix(t, prefix) {
				n++
			}
		}
		if n > s.MaxPerServer {
			w.breakRule("ROUTE %d tasks of %s on %s, at most %d may be", n, prefix, k.id, s.MaxPerServer)
		}
	}
	for _, a := range s.After {
		for i := range j.steps[a].Count {
			if !j.done[fmt.Sprintf("%s.%d.%d.%d", j.id, occurrence, a, i)] {
				w.breakRule("ORDER %s starts before step %d is done", o.Task, a)
			}
		}
	}
	if j.times > 0 {
		if due := j.first.Add(time.Duration(occurrence) * j.interval); time.Until(due) > 250*time.Millisecond {
			w.breakRule("ORDER %s starts %v before its time", o.Task, time.Until(due))
		}
	}
	if !s.Persistent && j.failed[o.Task] >= j.attempts {
		w.breakRule("BUDGET %s starts after %d failures", o.Task, j.failed[o.Task])
	}
	if !k.guards && k.used()+s.Cpu > k.cpu {
		w.breakRule("LIMIT %s brings %s to %d of %d", o.Task, k.id, k.used()+s.Cpu, k.cpu)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 3*time.Second {
		w.breakRule("UNASKED %s starts %v after its cancelling was acknowledged", o.Task, time.Since(j.cancelledAt))
	}
}

// endRun ends a run. The caller holds mu.
func (k *worker) endRun(r *run, how string) {
	delete(k.runs, r.task)
	k.high[r.task] = max(k.high[r.task], r.number)
	k.ends = append(k.ends, end{k.nextEnd, r.task, r.number, how, r.saved, time.Now()})
	k.nextEnd++
	k.world.logf("worker %s: end %s/%d %s", k.id, r.task, r.number, how)
	switch how {
	case "done":
		r.job.done[r.task] = true
	case "failed":
		r.job.failed[r.task]++
		r.job.failed[gangPrefix(r.task)]++
	}
}

// noteEnd handles that an end was taken note of. The caller holds mu.
func (w *world) noteEnd(k *worker, e end) {
	w.logf("worker %s: end %d of %s/%d is taken note of", k.id, e.number, e.task, e.run)
	j, s, _, _ := w.find(e.task)
	if e.how != "done" || j == nil || s.Persistent || e.at.Before(k.lapsedAt) {
		return
	}
	tasks := []string{e.task}
	if s.Gang {
		tasks = nil
		for i := range s.Count {
			tasks = append(tasks, gangPrefix(e.task)+fmt.Sprint(i))
		}
	}
	for _, t := range tasks {
		j.noted[t] = true
		if again := j.again[t]; again != "" && !strings.HasPrefix(again, fmt.Sprintf("%s/%d ", t, e.run)) {
			w.breakRule("TWICE %s after %s/%d has ended done on %s, which is taken note of now", again, t, e.run, k.id)
		}
	}
}

// tick lets the runs work until the world ends.
func (w *world) tick() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.stopping {
			close(w.ticked)
			w.ticked = make(chan struct{})
			w.mu.Unlock()
			return
		}
		now := time.Now()
		w.gangs(now)
		for _, k := range w.workers {
			if !k.alive {
				continue
			}
			if now.Sub(k.lastChange) > beatTime && !k.silent {
				k.lastChange = now
				k.register()
			}
			if k.since() > k.lease {
				k.lapsedAt = now
			}
			for _, r := range k.runs {
				worked := r.worked
				if !r.workingAt.IsZero() {
					worked += now.Sub(r.workingAt)
				}
				if r.need.Checkpoints && worked > 0 {
					r.saved = fmt.Sprintf("c%d", worked.Milliseconds()/500*500)
				}
				switch {
				case k.since() > k.lease:
					k.endRun(r, "lapsed")
				case !r.stopAt.IsZero() && now.After(r.stopAt):
					k.endRun(r, "stopped")
				case r.fails && !r.workingAt.IsZero() && worked > 200*time.Millisecond:
					k.endRun(r, "failed")
					if r.need.Gang {
						w.breakGang(r)
					}
				case r.need.Persistent:
				case worked >= r.job.work && !r.workingAt.IsZero():
					if r.need.Gang {
						w.finishGang(r)
					} else {
						k.endRun(r, "done")
					}
				case r.need.Gang && r.workingAt.IsZero() && now.Sub(r.startedAt) > gangTime:
					k.endRun(r, "alone")
				}
			}
		}
		close(w.ticked)
		w.ticked = make(chan struct{})
		w.mu.Unlock()
	}
}

// members returns the runs of a gang with a number, by worker. The caller holds mu.
func (w *world) members(prefix string, number int64) map[*run]*worker {
	list := map[*run]*worker{}
	for _, k := range w.workers {
		for t, r := range k.runs {
			if k.alive && r.number == number && strings.HasPrefix(t, prefix) {
				list[r] = k
			}
		}
	}
	return list
}

func gangPrefix(task string) string { return task[:strings.LastIndex(task, ".")+1] }

// gangs lets complete gangs work and breaks those that have lost a member.
func (w *world) gangs(time.Time) {
	for _, k := range w.workers {
		for _, r := range k.runs {
			if !r.need.Gang {
				continue
			}
			m := w.members(gangPrefix(r.task), r.number)
			if len(m) == r.need.Count {
				for o := range m {
					if o.workingAt.IsZero() {
						o.workingAt = time.Now()
					}
				}
			} else if !r.workingAt.IsZero() {
				k.endRun(r, "broken")
			}
		}
	}
}

func (w *world) breakGang(r *run) {
	for o, k := range w.members(gangPrefix(r.task), r.number) {
		k.endRun(o, "broken")
	}
}

func (w *world) finishGang(r *run) {
	for i := range r.need.Count { // one end represents all
		r.job.done[gangPrefix(r.task)+fmt.Sprint(i)] = true
	}
	for o, k := range w.members(gangPrefix(r.task), r.number) {
		k.endRun(o, "done")
	}
}

// entry is an entry process.
type entry struct {
	world   *world
	name    string
	front   string
	command *exec.Cmd
	ended   chan struct{}
	config  string
	log     *os.File
}

// addEntry starts an entry on a loopback address of its own.
func (w *world) addEntry(name string) (*entry, error) {
	var ip string
	for {
		// Not by the seed: several worlds may run at a time.
		ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		l, err := net.Listen("tcp4", ip+":7060")
		if err == nil {
			_ = l.Close()
			break
		}
	}
	text := strings.Join([]string{
		"Node=" + name, "Role=entry", "Class=edge", "Serves=edge", "Ip=" + ip, "Zone=z1", "Region=z", "Listen.Front=" + ip + ":8624", "Listen.Ready=" + ip + ":8622",
		"Listen.Control=" + ip + ":8623", "PortRange=7060,7075", "Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "HeartbeatMs=1500",
		"Bounds.HoldMaxMs=10000", "Bounds.StopMs=400", "Bounds.GangMs=3000", "Bounds.LeaseMs=3000", "Bounds.FarX=3", "Bounds.GraceS=6", "Bounds.status_s=120", "Bounds.early_ms=250", "Orders=request",
		"platform.Addr=" + w.platform.StoreAddress(), "platform.form=table", "platform.RowBytes=65536", "Cloud.Addr=" + w.platform.HostsAddress(), "Cloud.RatePerS=64", "Cloud.DutyPerS=64", "",
	}, "\n")
	e := &entry{world: w, name: name, front: ip + ":8624", config: filepath.Join(w.dir, name+".conf")}
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if e.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	return e, e.start()
}

// ready waits until all entries are ready, and reports whether they are.
func (w *world) ready() bool {
	for _, e := range w.entries {
		address := strings.TrimSuffix(e.front, "8624") + "8622"
		for until := time.Now().Add(8 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			select {
			case <-e.ended:
				return false
			default:
			}
			resp, err := http.Get("http://" + address + "/-/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
		}
	}
	return true
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	c := exec.Command(e.world.binary, "hosted")
	c.Env = []string{"BRAMLEYROCK_CONFIG=" + e.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = e.log, e.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.command, e.ended = c, ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.world.mu.Lock()
	e.world.logf("entry %s gets %v", e.name, s)
	e.world.mu.Unlock()
	_ = e.command.Process.Signal(s)
}

// call makes a caller's call, and returns the status, or 0, and the body.
func (w *world) call(e *entry, method, path string, body any) (int, map[string]any) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+e.front+path, strings.NewReader(string(text)))
	if err != nil {
		return 0, nil
	}
	r.Host = queueHost
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	status, answer := 0, map[string]any{}
	if err == nil {
		status = resp.StatusCode
		_ = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
	}
	w.mu.Lock()
	w.logf("call %s %s at %s: %d %v", method, path, e.name, status, answer["State"])
	w.mu.Unlock()
	return status, answer
}

// submit submits a job at one entry after the other until it is answered.
func (w *world) submit(j *job, tries int) bool {
	w.mu.Lock()
	j.done, j.failed, j.noted, j.again = map[string]bool{}, map[string]int{}, map[string]bool{}, map[string]string{}
	w.jobs[j.id] = j
	w.mu.Unlock()
	body := map[string]any{"Spec": j.spec, "Steps": j.steps}
	if j.times > 0 {
		body["Times"], body["FirstMs"], body["IntervalMs"] = j.times, j.first.UnixMilli(), j.interval.Milliseconds()
	}
	for range tries {
		w.mu.Lock()
		e := w.entries[w.random.IntN(len(w.entries))]
		w.mu.Unlock()
		status, _ := w.call(e, http.MethodPost, j.path, body)
		if status/100 == 2 {
			w.mu.Lock()
			j.acceptedAt = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks an entry for the state of a job.
func (w *world) state(j *job, tries int) (string, int) {
	status := 0
	for range tries {
		w.mu.Lock()
		e := w.entries[w.random.IntN(len(w.entries))]
		w.mu.Unlock()
		var body map[string]any
		if status, body = w.call(e, http.MethodGet, j.path, nil); status == http.StatusOK {
			s, _ := body["State"].(string)
			return s, status
		}
		if status == http.StatusGone {
			return "", status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", status
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	for _, e := range w.entries {
		_ = e.command.Process.Signal(syscall.SIGCONT)
		_ = e.command.Process.Kill()
		<-e.ended
	}
	for _, k := range w.workers {
		if k.alive {
			_ = k.server.Close()
		}
	}
	_ = w.platform.Close()
	_ = w.record.Close()
}
