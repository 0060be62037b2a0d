//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["reserve-crash"] = playReserveCrash }

// playReserveCrash plays jobs of a queue whose policy allows one executor, beside a lasting
// job of another queue whose policy allows two others, of which one is full. The trouble is
// the loss of the executor on which the lasting job runs.
func playReserveCrash(p *play) {
	p.adviceValid = time.Minute
	p.addMachines("alpha", 7, "a")
	allow := func(numbers ...int) func(e *executor) bool {
		return func(e *executor) bool {
			for _, n := range numbers {
				if e.machine == p.machines[n] {
					return true
				}
			}
			return false
		}
	}
	p.policies["full"], p.policies["watch"] = allow(2), allow(0, 2)
	p.policies["side"], p.policies["checked"] = allow(3, 4, 5, 6), allow(1)
	p.prepare(3, true)
	var queues []queue
	for name := range p.policies {
		queues = append(queues, queue{Name: name, Prefix: "/" + name + "/", Service: "alpha", Attempts: 4, Advised: true})
	}
	p.configure(1, []string{"alpha"}, queues...)
	p.startAll()
	time.Sleep(5 * time.Second)
	p.caller.submit(&job{id: "00000000000000a1", queue: "full", spec: "full", steps: []step{{Count: 1, Cpu: 31000, MemMb: 60000, Persistent: true, MayMiss: 1}}})
	p.caller.submit(&job{id: "00000000000000a2", queue: "side", spec: "side", steps: []step{{Count: 4, Cpu: 2000, MemMb: 2000, MaxPerServer: 1, Persistent: true, MayMiss: 1}}})
	time.Sleep(2 * time.Second)
	p.caller.submit(&job{id: "00000000000000a3", queue: "watch", spec: "watch", steps: []step{{Count: 1, Cpu: 4000, MemMb: 4000, Persistent: true, MayMiss: 1}}})
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.loseForGood(p.machines[0])
	}
	time.Sleep(9 * time.Second)
	var jobs []*job
	for i := range 5 {
		j := &job{id: fmt.Sprintf("%016x", 0xb0+i), queue: "checked", spec: "checked", steps: []step{{Count: 2, Cpu: 1000, MemMb: 1000, EstimateMs: 500, lasts: 500 * time.Millisecond}}}
		jobs = append(jobs, j)
		p.caller.submit(j)
		time.Sleep(200 * time.Millisecond)
	}
	p.checkFinished(jobs)
}

// loseForGood ends the executor of a machine, which does not come back. Its registration
// lapses.
func (p *play) loseForGood(m *machine) {
	var id string
	p.locked(func() {
		id = m.executor.id
		p.note("executor %s of %s is lost for good", id, m.name)
		m.executor.kill()
		m.state = "down"
	})
	time.AfterFunc(3*heartbeat, func() { p.store.remove("servers", id) })
}
