//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["ejected"] = ejected }

// greyTime is how long an executor fails all that it starts, and greyGap the time between two
// such times.
const (
	greyTime = 6500 * time.Millisecond
	greyGap  = 7500 * time.Millisecond
	// finishTime is the time after the end of the traffic at which jobs are asked for, and
	// idleTime for how long a job that could run may have nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// ejected plays jobs that need the label of one executor, which fails all that it starts for a
// while, twice.
func ejected(w *world, trouble bool) int {
	q := queue{Name: "q", Host: queueHost, Prefix: "/q/", Service: "tins", Attempts: 2, Stretch: 1.6, SloMs: 600}
	other := queue{Name: "other", Host: queueHost, Prefix: "/other/", Service: "tins", Attempts: 4, Stretch: 1.6, SloMs: 600}
	w.configure(1, []string{"tins"}, true, q, other)
	for i := range 8 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		if _, err := w.addWorker(fmt.Sprint("i-", i), "tins", kind, fmt.Sprint("r", i%3), 32000, true); err != nil {
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
	time.Sleep(3 * time.Second)
	begun := time.Now()
	go func() {
		for n := 0; trouble && n < 2; n++ {
			w.setGrey(w.workers[0], true)
			time.Sleep(greyTime)
			w.setGrey(w.workers[0], false)
			time.Sleep(greyGap)
		}
	}()
	var special []*job
	for n := 0; time.Since(begun) < 17*time.Second; n++ {
		j := &job{id: fmt.Sprintf("%016x", w.random.Uint64()), spec: fmt.Sprint("spec ", n), work: 400 * time.Millisecond, attempts: 4}
		j.path = "/other/" + j.id
		j.steps = []step{{Count: 8, Cpu: 2000, MemMb: 100, EstimateMs: 400}}
		if at := time.Since(begun); at > 14*time.Second && at < 16*time.Second && n%5 == 0 {
			j.path, j.attempts = "/q/"+j.id, 2
			j.steps = []step{{Count: 1, Cpu: 1000, MemMb: 100, EstimateMs: 400, RequiredLabel: "b"}}
			special = append(special, j)
		}
		go w.submit(j, 4)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(finishTime)
	asked := time.Now()
	waiting := map[*job]bool{}
	for _, j := range special {
		if s, _ := w.state(j, 5); s == "queued" || s == "running" {
			waiting[j] = true
		}
	}
	for time.Since(asked) < idleTime+300*time.Millisecond {
		w.mu.Lock()
		for j := range waiting {
			if w.running(j) > 0 || j.failed[j.id+".0.0.0"] >= j.attempts {
				delete(waiting, j)
			}
		}
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("%d jobs need the label, %d have had nothing running; worker i-0 uses %d of %d", len(special), len(waiting), w.workers[0].used(), w.workers[0].cpu)
	for j := range waiting {
		w.breakRule("LOST %s has nothing running for %v, later than %v after the end of the traffic; %d of its 2 attempts have failed", j.id, idleTime, finishTime, j.failed[j.id+".0.0.0"])
	}
	return 0
}

// setGrey sets whether an executor fails all that it starts, with a good health check.
func (w *world) setGrey(k *worker, grey bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k.grey = grey
	w.logf("worker %s fails what it starts: %v", k.id, grey)
}
