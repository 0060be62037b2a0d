//go:build review2

package main

import "time"

func init() { cases["scheduled-memory"] = playScheduledMemory }

// playScheduledMemory plays small jobs. The trouble are jobs that come at once and are
// scheduled for every minute of the next five days. None of their tasks is due meanwhile.
func playScheduledMemory(p *play) {
	const scheduledJobs, occurrences = 24, 5 * 24 * 60
	p.addMachines("alpha", 4, "a")
	p.prepare(3, false)
	p.configure(1, []string{"alpha"}, queue{Name: "short", Prefix: "/short/", Service: "alpha", Attempts: 4})
	p.startAll()
	stop := make(chan struct{})
	kills := p.enforceMemory(stop)
	time.Sleep(5 * time.Second)
	for i := range scheduledJobs {
		if !p.trouble {
			break
		}
		p.caller.submit(&job{
			id: jobID(0xa00 + i), queue: "short", spec: "every minute", times: occurrences, first: time.Now().Add(10 * time.Minute).Truncate(time.Second), every: time.Minute,
			steps: []step{{Count: 9, Cpu: 1000, MemMb: 1000, EstimateMs: 1000, lasts: time.Second}},
		})
		time.Sleep(100 * time.Millisecond)
	}
	var jobs []*job
	for i := range 20 {
		j := &job{id: jobID(0xb00 + i), queue: "short", spec: "short", steps: []step{{Count: 2, Cpu: 1000, MemMb: 1000, EstimateMs: 300, lasts: 300 * time.Millisecond}}}
		jobs = append(jobs, j)
		p.caller.submit(j)
		time.Sleep(300 * time.Millisecond)
	}
	p.checkFinished(jobs)
	close(stop)
	n, processes := 0, 0
	killed := <-kills
	for _, k := range killed {
		if n += k; k >= 3 {
			processes++
		}
	}
	p.locked(func() {
		p.note("%d ends by memory: %v", n, killed)
		if processes >= 2 {
			p.breaks("Fault", "%d of %d processes exceeded their memory three times or more: %v", processes, len(p.entries), killed)
		}
	})
}
