//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["advice-wave"] = playAdviceWave }

// playAdviceWave plays jobs of a queue whose policy allows one executor only, on which a
// lasting task runs that may not be away. The trouble is a wave of upkeep of that machine.
func playAdviceWave(p *play) {
	const waveTime = 26 * time.Second
	p.addMachines("alpha", 4, "a")
	p.addMachines(standbyPool, 2, "a")
	good := p.machines[1].name
	p.policies["checked"] = func(e *executor) bool { return e.machine.name == good }
	p.prepare(3, true)
	p.configure(1, []string{"alpha", standbyPool},
		queue{Name: "lasting", Prefix: "/lasting/", Service: "alpha", Attempts: 4},
		queue{Name: "checked", Prefix: "/checked/", Service: "alpha", Attempts: 4, Advised: true})
	p.startAll()
	time.Sleep(5 * time.Second)
	p.caller.submit(&job{id: "00000000000000a1", queue: "lasting", spec: "lasts", steps: []step{{Count: 4, Cpu: 1000, MemMb: 1000, MaxPerServer: 1, Persistent: true}}})
	time.Sleep(3 * time.Second)
	if p.trouble {
		p.requestWave(7, 1, waveTime, good)
	}
	time.Sleep(6 * time.Second)
	var jobs []*job
	for i := range 5 {
		j := &job{id: fmt.Sprintf("%016x", 0xb0+i), queue: "checked", spec: "checked", steps: []step{{Count: 2, Cpu: 1000, MemMb: 1000, EstimateMs: 500, lasts: 500 * time.Millisecond}}}
		jobs = append(jobs, j)
		p.caller.submit(j)
		time.Sleep(200 * time.Millisecond)
	}
	p.checkFinished(jobs)
}
