//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["entries"] = entries }

// entries plays jobs on two services. Another writer writes an entry with missing fields over
// that of an executor, which names the other service. The executor writes its own entry again
// with its next heartbeat.
func entries(w *world, trouble bool) int {
	pools := []string{"tins", "lids"}
	var queues []queue
	for _, p := range pools {
		queues = append(queues, queue{Name: "q-" + p, Host: queueHost, Prefix: "/" + p + "/", Service: p, Attempts: 3, Stretch: 1.6, SloMs: 600})
	}
	w.configure(1, pools, true, queues...)
	for i := range 16 {
		if _, err := w.addWorker(fmt.Sprint("i-", i), pools[i%2], "a", fmt.Sprint("r", i%3), 8000, true); err != nil {
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
	time.Sleep(4 * time.Second)
	until := time.Now().Add(30 * time.Second)
	go func() {
		for n := 0; trouble && time.Now().Before(until.Add(-3*time.Second)); n++ {
			k := w.workers[n%len(w.workers)]
			w.writeForeign(k, pools[(n+1)%2])
			time.Sleep(5 * time.Second)
		}
	}()
	var all []*job
	for n := 0; time.Now().Before(until); n++ {
		pool := pools[n%2]
		j := &job{id: fmt.Sprintf("%016x", w.random.Uint64()), spec: fmt.Sprint("spec ", n), work: 400 * time.Millisecond, attempts: 3, pool: pool}
		j.path = "/" + pool + "/" + j.id
		j.steps = []step{{Count: 20, Cpu: 1000, MemMb: 100, EstimateMs: 400}}
		all = append(all, j)
		go w.submit(j, 4)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	w.checkStates(all)
	return 0
}

// writeForeign writes an entry over that of an executor, without Version, Slots, ColdLeftMs and Seq.
func (w *world) writeForeign(k *worker, pool string) {
	value, _ := json.Marshal(map[string]any{
		"Service": pool, "Addr": k.address, "Zone": "z1", "State": "ready",
		"Capacity": map[string]int{"Cpu": k.cpu, "MemMb": 65536}, "Labels": []string{k.kind, k.rack},
	})
	w.mu.Lock()
	w.logf("another writer writes servers/%s: %s", k.id, value)
	w.mu.Unlock()
	w.platform.Store().Put("servers", k.id, value)
}

// checkStates asks for the states of accepted jobs whose tasks all end well.
func (w *world) checkStates(all []*job) {
	for _, j := range all {
		w.mu.Lock()
		accepted := !j.acceptedAt.IsZero()
		w.mu.Unlock()
		if !accepted {
			continue
		}
		s, status := w.state(j, 5)
		w.mu.Lock()
		total := 0
		for _, p := range j.steps {
			total += p.Count
		}
		switch {
		case s == "completed" && len(j.done) < total:
			w.breakRule("MIXED %s is shown as completed, %d of %d tasks are done", j.id, len(j.done), total)
		case s != "completed":
			w.breakRule("LOST %s is shown as %q (%d), %d of %d tasks are done", j.id, s, status, len(j.done), total)
		}
		w.mu.Unlock()
	}
}
