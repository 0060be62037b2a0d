//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["labels"] = labels }

// labels plays jobs that need workers of a kind, on workers that crash and start again under
// their ids as another kind.
func labels(w *world, trouble bool) int {
	q := queue{Name: "q", Host: queueHost, Prefix: "/q/", Service: "tins", Attempts: 3, Stretch: 1.6, SloMs: 600}
	w.configure(1, []string{"tins"}, true, q)
	for i := range 8 {
		kind := "a"
		if i >= 4 {
			kind = "b"
		}
		if _, err := w.addWorker(fmt.Sprint("i-", i), "tins", kind, fmt.Sprint("r", i%2), 8000, true); err != nil {
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
	until := time.Now().Add(50 * time.Second)
	go func() {
		for n := 0; trouble && time.Now().Before(until.Add(-3*time.Second)); n++ {
			k := w.workers[n%8]
			k.crash()
			time.Sleep(time.Second)
			kind := "a"
			if k.kind == "a" {
				kind = "b"
			}
			if err := k.restart(kind); err != nil {
				return
			}
			time.Sleep(2 * time.Second)
		}
	}()
	for n := 0; time.Now().Before(until); n++ {
		j := &job{id: fmt.Sprintf("%016x", w.random.Uint64()), spec: fmt.Sprint("spec ", n), work: 400 * time.Millisecond, attempts: 3}
		j.path = "/q/" + j.id
		j.steps = []step{{Count: 24, Cpu: 1000, MemMb: 100, EstimateMs: 400, RequiredLabel: string("ab"[n%2])}}
		go w.submit(j, 4)
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	return 0
}
