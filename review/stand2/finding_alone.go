//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["alone"] = playAlone }

// playAlone plays one entry alone with six services and a spare one, which asks the sound
// store for the changes of ten tables at a time. Nothing disturbs it. Without the trouble there
// are three services and the spare one. It is no case: a small deployment has five in all.
func playAlone(p *play) {
	count := 3
	if p.trouble {
		count = 6
	}
	var services []string
	var queues []queue
	for i := range count {
		s := fmt.Sprintf("alpha%d", i)
		p.addMachines(s, 3, "a")
		services = append(services, s)
		queues = append(queues, queue{Name: "q-" + s, Prefix: "/" + s + "/", Service: s, Attempts: 4})
	}
	p.addMachines(standbyPool, 2, "a")
	p.prepare(1, false)
	p.configure(1, append(services, standbyPool), queues...)
	p.startAll()
	time.Sleep(6 * time.Second)
	var jobs []*job
	for i := range 20 {
		j := &job{id: jobID(0xb0 + i), queue: queues[i%count].Name, spec: "short", steps: []step{{Count: 2, Cpu: 1000, MemMb: 1000, EstimateMs: 500, lasts: 500 * time.Millisecond}}}
		jobs = append(jobs, j)
		p.caller.submit(j)
		time.Sleep(100 * time.Millisecond)
	}
	p.log("end of the traffic")
	time.Sleep(finish)
	refused, unanswered := 0, 0
	for _, j := range jobs {
		if !j.accepted {
			p.note("job %s was not accepted: %v", j.id, j.answers)
			continue
		}
		// A client repeats its call as often as it repeats a submission.
		answered := false
		for i := 0; i <= retries && !answered; i++ {
			status, _ := p.caller.call(p.entries[0], http.MethodGet, p.caller.prefix(j.queue)+j.id, nil)
			answered = status == http.StatusOK
			if status == http.StatusServiceUnavailable {
				refused++
			}
			time.Sleep(time.Duration(200*(i+1)) * time.Millisecond)
		}
		if !answered {
			unanswered++
		}
	}
	fmt.Printf("%d calls were answered with 503, %d jobs had no answer in %d calls\n", refused, unanswered, retries+1)
	p.locked(func() {
		p.note("%d calls were answered with 503, %d jobs had no answer in %d calls", refused, unanswered, retries+1)
		if refused > 0 {
			p.breaks("503", "%d GETs of accepted jobs were refused while the store was sound", refused)
		}
	})
}
