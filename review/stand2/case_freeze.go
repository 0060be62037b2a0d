//go:build review2

package main

import (
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["order-freeze"] = playOrderFreeze }

// playOrderFreeze plays a wave of upkeep. The trouble is that the machine of the entry which
// sends the first order stands still at that moment: its process is stopped, and what the
// machine has not sent yet leaves it when it wakes.
func playOrderFreeze(p *play) {
	const freezeTime = 5 * time.Second
	p.bothInTouch = !p.trouble
	p.addMachines("alpha", 6, "a")
	p.addMachines(standbyPool, 2, "a")
	p.prepare(3, false)
	p.configure(1, []string{"alpha", standbyPool}, queue{Name: "short", Prefix: "/short/", Service: "alpha", Attempts: 4})
	p.startAll()
	time.Sleep(8 * time.Second)
	var frozen atomic.Bool
	woken := make(chan struct{})
	for i := range p.links {
		if !p.trouble {
			close(woken)
			break
		}
		p.links[i].setOnOrder(func(name string) {
			if !frozen.CompareAndSwap(false, true) {
				return
			}
			i := slices.IndexFunc(p.entries, func(e *entry) bool { return e.name == name })
			p.signal(p.entries[i], syscall.SIGSTOP, false)
			time.Sleep(freezeTime)
			time.AfterFunc(time.Millisecond, func() {
				p.signal(p.entries[i], syscall.SIGCONT, false)
				close(woken)
			})
		})
	}
	p.requestWave(7, 1, 26*time.Second, p.machines[1].name, p.machines[4].name)
	for i := range 20 {
		j := &job{id: jobID(0xb0 + i), queue: "short", spec: "short", steps: []step{{Count: 2, Cpu: 1000, MemMb: 1000, EstimateMs: 300, lasts: 300 * time.Millisecond}}}
		p.caller.submit(j)
		time.Sleep(500 * time.Millisecond)
	}
	select {
	case <-woken:
	case <-time.After(20 * time.Second):
		panic("no order was sent")
	}
	time.Sleep(5 * time.Second)
}
