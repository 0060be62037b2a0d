//go:build review3

package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"bramleyrock/platform/stand"
)

// maxTime is the longest time of a case, below the 120 s that a script may take.
const maxTime = 110 * time.Second

func main() {
	name := flag.String("case", "mix", "case to play")
	seed := flag.Uint64("seed", 1, "seed")
	dir := flag.String("dir", ".", "folder of the record")
	binary := flag.String("binary", "target/bramleyrock", "program of the entries")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "whether the disruption comes")
	length := flag.Duration("for", 40*time.Second, "time of the faults")
	kinds := flag.Bool("kinds", false, "whether workers change their kind")
	rule := flag.String("rule", "", "rule that decides the exit status, or empty for all")
	keep := flag.Bool("keep", false, "whether the logs of the entries are kept")
	flag.Parse()
	w, err := newWorld(*seed, *dir, *binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c, ok := cases[*name]
	if !ok {
		os.Exit(2)
	}
	w.kinds, w.length = *kinds, *length
	ended := make(chan int, 1)
	go func() { ended <- c(w, *trouble) }()
	var code int
	select {
	case code = <-ended:
	case <-time.After(maxTime):
		code = 2
	}
	w.mu.Lock()
	broken := slices.Clone(w.broken)
	w.mu.Unlock()
	for _, b := range broken {
		fmt.Println(b)
	}
	w.close()
	if code == 0 && slices.ContainsFunc(broken, func(b string) bool { return strings.HasPrefix(b, *rule) }) {
		code = 1
	}
	if *keep {
		fmt.Println("logs in", w.dir)
	} else {
		_ = os.RemoveAll(w.dir)
	}
	os.Exit(code)
}

var cases = map[string]func(w *world, trouble bool) int{"mix": mix}

// newJob returns a job of the mix.
func (w *world) newJob(n int) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &job{id: fmt.Sprintf("%016x", w.random.Uint64()), spec: fmt.Sprint("spec ", n), work: time.Duration(200+w.random.IntN(1500)) * time.Millisecond, attempts: 3}
	j.path = "/q/" + j.id
	c := 1 + w.random.IntN(6)
	cpu := 500 + 500*w.random.IntN(6)
	switch w.random.IntN(10) {
	case 8:
		j.steps = []step{{Count: c, Cpu: 500, MemMb: 100, Persistent: true, MayMiss: 1, Checkpoints: w.random.IntN(2) == 0}}
		if n > 60 {
			j.steps[0].Persistent = false
		}
	case 9:
		j.work = 100 * time.Millisecond
		j.steps = []step{{Count: 100 + 60*c, Cpu: 100, MemMb: 1, EstimateMs: 100}, {Count: 3, Cpu: 500, MemMb: 1, After: []int{0}}}
		if w.random.IntN(3) == 0 {
			j.times, j.first, j.interval = 2, time.Now(), time.Second
		}
	case 0:
		j.steps = []step{{Count: c, Cpu: cpu, EstimateMs: 500, MemMb: 100}, {Count: c, Cpu: cpu, MemMb: 100, After: []int{0}}, {Count: 2, Cpu: 1000, MemMb: 10, After: []int{0, 1}}}
	case 1, 2:
		j.steps = []step{{Count: 2 + c%5, Cpu: cpu, MemMb: 100, Gang: true, Checkpoints: w.random.IntN(2) == 0, MaxPerServer: 2 * w.random.IntN(2)}}
		j.work *= 2
	case 3:
		j.steps = []step{{Count: c, Cpu: cpu, MemMb: 100, RequiredLabel: "a"}}
	case 4:
		j.times, j.first, j.interval = 1+w.random.IntN(5), time.Now().Add(time.Duration(w.random.IntN(4000))*time.Millisecond).Truncate(time.Millisecond), time.Duration(300+w.random.IntN(2000))*time.Millisecond
		j.steps = []step{{Count: c, Cpu: cpu, MemMb: 100}, {Count: 1, Cpu: 500, MemMb: 10, After: []int{0}, Gang: w.random.IntN(2) == 0}}
	case 5:
		j.steps = []step{{Count: c, Cpu: cpu, MemMb: 100, Checkpoints: true}}
		j.work *= 3
	case 6:
		j.steps = []step{{Count: 3 * c, Cpu: 500, MemMb: 100, MaxPerServer: 1 + w.random.IntN(2)}}
	case 7:
		j.steps = []step{{Count: c, Cpu: cpu, MemMb: 100, Gang: w.random.IntN(3) == 0}}
		j.fails = w.random.IntN(4)
	}
	return j
}

// configureMix sends the queue to one of two pools.
func (w *world) configureMix(first bool) {
	pool := "tins"
	if !first {
		pool = "lids"
	}
	q := queue{Name: "q", Host: queueHost, Prefix: "/q/", Service: pool, Attempts: 3, Stretch: 1.6, SloMs: 600}
	w.configure(w.version, []string{"tins", "lids"}, true, q)
}

// mix plays random jobs and faults, for exploration.
func mix(w *world, trouble bool) int {
	w.version = 1
	w.configureMix(true)
	for i := range 10 {
		kind := "a"
		if i%2 == 1 {
			kind = "b"
		}
		pool := "tins"
		if i >= 6 {
			pool = "lids"
		}
		if _, err := w.addWorker(fmt.Sprint("w-", i), pool, kind, fmt.Sprint("r", i/3), 8000, true); err != nil {
			return 2
		}
	}
	for i := range 3 {
		if _, err := w.addEntry(fmt.Sprint("e", i)); err != nil {
			return 2
		}
	}
	if !w.ready() {
		return 2
	}
	time.Sleep(2 * time.Second)
	until := time.Now().Add(w.length)
	jobs := make(chan *job, 10000)
	fault := make(chan bool)
	go func() {
		defer close(fault)
		for trouble && time.Now().Before(until) {
			w.oneFault()
		}
	}()
	n := 0
	var all []*job
	for time.Now().Before(until) {
		n++
		j := w.newJob(n)
		go func() {
			if w.submit(j, 6) {
				jobs <- j
				if w.chance(15) {
					time.Sleep(time.Duration(w.pick(3000)) * time.Millisecond)
					w.cancel(j)
				}
			}
		}()
		time.Sleep(time.Duration(50+w.pick(400)) * time.Millisecond)
	}
	<-fault
	w.settle()
	time.Sleep(4 * time.Second)
	close(jobs)
	for j := range jobs {
		all = append(all, j)
	}
	for end := time.Now().Add(40 * time.Second); len(all) > 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var left []*job
		for _, j := range all {
			s, status := w.state(j, 3)
			w.mu.Lock()
			total := 0
			for _, p := range j.steps {
				total += p.Count * max(1, j.times)
			}
			lasts := j.steps[0].Persistent
			if lasts && s == "running" && j.cancelSent.IsZero() {
				running := w.running(j)
				if running == j.steps[0].Count {
					w.mu.Unlock()
					continue
				}
			}
			if s == "cancelled" && w.running(j) > 0 {
				left = append(left, j)
				w.mu.Unlock()
				continue
			}
			switch {
			case status == 410 && j.cancelSent.IsZero():
				w.breakRule("LOST %s is not known", j.id)
			case s == "completed" && len(j.done) < total:
				w.breakRule("MIXED %s is shown as completed, %d of %d tasks are done", j.id, len(j.done), total)
			case s == "cancelled" && j.cancelSent.IsZero():
				w.breakRule("LOST %s is shown as cancelled", j.id)
			case s == "failed" && j.fails < j.attempts:
				w.breakRule("LOST %s is shown as failed, %v", j.id, j.failed)
			case s == "completed", s == "failed", s == "cancelled", status == 410:
			default:
				left = append(left, j)
			}
			w.mu.Unlock()
		}
		all = left
	}
	w.mu.Lock()
	for _, j := range all {
		w.breakRule("LOST %s is not over: %+v done %d", j.id, j.steps, len(j.done))
	}
	w.mu.Unlock()
	fmt.Println("jobs", n, "broken", len(w.broken))
	return 0
}

// running returns the number of a job's runs. The caller holds mu.
func (w *world) running(j *job) int {
	n := 0
	for _, k := range w.workers {
		for _, r := range k.runs {
			if k.alive && r.job == j {
				n++
			}
		}
	}
	return n
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) chance(percent int) bool { return w.pick(100) < percent }

// cancel cancels a job.
func (w *world) cancel(j *job) {
	w.mu.Lock()
	j.cancelSent = time.Now()
	w.mu.Unlock()
	for range 5 {
		status, _ := w.call(w.entries[w.pick(len(w.entries))], "DELETE", j.path, nil)
		if status/100 == 2 {
			w.mu.Lock()
			j.cancelledAt = time.Now()
			w.mu.Unlock()
			return
		}
		if status == 410 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// settle ends all disruptions.
func (w *world) settle() {
	w.platform.Store().SetFault(stand.Healthy)
	w.platform.Store().SetPartFault(stand.Healthy, nil)
	w.mu.Lock()
	for _, k := range w.workers {
		k.silent = false
	}
	w.mu.Unlock()
}

// oneFault makes one disruption.
func (w *world) oneFault() {
	ms := func(low, high int) time.Duration { return time.Duration(low+w.pick(high-low)) * time.Millisecond }
	e := w.entries[w.pick(len(w.entries))]
	k := w.workers[w.pick(len(w.workers))]
	switch w.pick(16) {
	case 13, 14, 15:
		w.mu.Lock()
		n := w.random.IntN(3)
		for i, o := range w.workers {
			if i%3 == n {
				o.delay, o.delayShare = time.Duration(2000+w.random.IntN(10000))*time.Millisecond, 10+w.random.IntN(50)
			}
		}
		w.mu.Unlock()
		time.Sleep(ms(2000, 6000))
		w.mu.Lock()
		for _, o := range w.workers {
			o.delay = 0
		}
		w.mu.Unlock()
	case 9:
		delay, share := ms(1000, 6000), 20+w.pick(50)
		w.platform.Store().SetLate(func(string, string) time.Duration {
			if w.late.Add(1)*7919%100 < int64(share) {
				return delay
			}
			return 0
		})
		time.Sleep(ms(1000, 5000))
		w.platform.Store().SetLate(nil)
	case 10:
		n := w.pick(3)
		f := []stand.Fault{stand.Refuse, stand.Hang}[w.pick(2)]
		w.platform.Store().SetPartFault(f, func(part string) bool { return len(part) > 0 && (int(part[len(part)-1])+n)%3 == 0 })
		time.Sleep(ms(1000, 6000))
		w.platform.Store().SetPartFault(stand.Healthy, nil)
	case 11:
		w.mu.Lock()
		w.version++
		w.mu.Unlock()
		w.configureMix(w.chance(50))
	case 12:
		var frozen []*entry
		for _, e := range w.entries {
			if w.chance(60) {
				frozen = append(frozen, e)
				e.signal(syscall.SIGSTOP)
			}
		}
		time.Sleep(ms(300, 2500))
		for _, e := range frozen {
			e.signal(syscall.SIGCONT)
		}
	case 0, 1:
		e.signal(syscall.SIGKILL)
		<-e.ended
		time.Sleep(ms(100, 2500))
		_ = e.start()
	case 2:
		e.signal(syscall.SIGTERM)
		<-e.ended
		_ = e.start()
	case 3:
		e.signal(syscall.SIGSTOP)
		time.Sleep(ms(800, 4000))
		e.signal(syscall.SIGCONT)
	case 4, 5:
		k.crash()
		time.Sleep(ms(50, 3000))
		kind := k.kind
		if w.kinds && w.chance(50) {
			kind = string("ab"[w.pick(2)])
		}
		_ = k.restart(kind)
	case 6:
		w.mu.Lock()
		k.silent = true
		w.logf("worker %s is silent", k.id)
		w.mu.Unlock()
		time.Sleep(ms(1000, 8000))
		w.mu.Lock()
		k.silent = false
		w.logf("worker %s is no longer silent", k.id)
		w.mu.Unlock()
	case 7:
		f := []stand.Fault{stand.Delay, stand.LoseAnswers, stand.Refuse, stand.Hang}[w.pick(4)]
		w.platform.Store().SetFault(f)
		time.Sleep(ms(1000, 4000))
		w.platform.Store().SetFault(stand.Healthy)
	case 8:
		w.platform.Store().DropHistory()
	}
	time.Sleep(ms(100, 2000))
}
