//go:build review2

package main

import "time"

func init() { cases["attempts-removed"] = playAttemptsRemoved }

// playAttemptsRemoved plays a job of a queue whose route was added with four attempts. The
// trouble are versions that remove the route again and, later, add it once more. A route of
// the same name with two attempts was in force some time before.
func playAttemptsRemoved(p *play) {
	p.addMachines("alpha", 4, "a")
	// The delay with which an entry writes the records of a new configuration follows from
	// its name. It is long for these.
	p.prepare(3, false, "edge-amman-east-a-1", "edge-amman-east-b-2", "edge-amman-east-c-3")
	services := []string{"alpha"}
	other := queue{Name: "other", Prefix: "/other/", Service: "alpha", Attempts: 4}
	two, four := queue{Name: "short", Prefix: "/short/", Service: "alpha", Attempts: 2}, queue{Name: "short", Prefix: "/short/", Service: "alpha", Attempts: 4}
	p.configure(1, services, other, two)
	p.startAll()
	time.Sleep(5 * time.Second)
	one := []step{{Count: 1, Cpu: 1000, MemMb: 1000, EstimateMs: 800, lasts: 800 * time.Millisecond}}
	p.caller.submit(&job{id: "00000000000000a1", queue: "short", spec: "first", steps: one})
	time.Sleep(3 * time.Second)
	p.configure(2, services, other)
	time.Sleep(4 * time.Second)
	p.configure(5, services, other, four)
	time.Sleep(300 * time.Millisecond)
	j := &job{id: "00000000000000b1", queue: "short", spec: "second", steps: one, failing: true}
	p.caller.submit(j)
	time.Sleep(200 * time.Millisecond)
	if p.trouble {
		p.configure(7, services, other)
		time.Sleep(5 * time.Second)
		p.configure(8, services, other, four)
	}
	time.Sleep(5 * time.Second)
	state := p.caller.state(j)
	p.locked(func() {
		p.note("job %s is shown as %q after %d ends failed of %d attempts", j.id, state, j.failures, four.Attempts)
		if j.accepted && state == "failed" && j.failures < four.Attempts {
			p.breaks("LOST", "job %s is shown as failed after %d ends failed; its queue has %d attempts", j.id, j.failures, four.Attempts)
		}
	})
}
