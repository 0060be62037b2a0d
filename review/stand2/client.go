//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const queueHost = "queues.example"

// caller makes the calls of clients. A call that gets no answer is repeated at another
// entry.
type caller struct {
	w      *world
	d      *deployment
	client *http.Client
}

func newCaller(w *world, d *deployment) *caller {
	return &caller{w: w, d: d, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
}

// call makes one call and returns the status, or 0 without an answer.
func (c *caller) call(e *entry, method, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	r, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Host = queueHost
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	resp, err := c.client.Do(r)
	status, answer := 0, []byte(nil)
	if err == nil {
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	c.w.log("client %s %s at %s after %d ms: %d %.60s", method, path, e.name, time.Since(sent).Milliseconds(), status, bytes.TrimSpace(answer))
	return status, answer
}

// pick returns a random entry.
func (c *caller) pick() *entry { return c.d.entries[rand.IntN(len(c.d.entries))] }

// prefix returns the prefix of a queue.
func (c *caller) prefix(queue string) string {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return c.w.queues[queue].Prefix
}

// retries is how often a client repeats a call.
const retries = 4

// submit hands a job in, and repeats the call at other entries if it has no 2xx.
func (c *caller) submit(j *job) {
	c.w.mu.Lock()
	j.gangs, j.saved = map[string]map[string]*runAt{}, map[string]bool{}
	c.w.jobs[j.id] = j
	c.w.mu.Unlock()
	body := j.body()
	for i := range retries + 1 {
		status, _ := c.call(c.pick(), http.MethodPost, c.prefix(j.queue)+j.id, body)
		c.w.mu.Lock()
		j.answers = append(j.answers, status)
		if status/100 == 2 {
			j.accepted, j.acceptedAt = true, time.Now()
		}
		c.w.mu.Unlock()
		if j.accepted {
			return
		}
		time.Sleep(time.Duration(200*(i+1)) * time.Millisecond)
	}
}

// state asks for the state of a job and returns it, or the status.
func (c *caller) state(j *job) string {
	status, answer := c.call(c.pick(), http.MethodGet, c.prefix(j.queue)+j.id, nil)
	var a struct{ State string }
	if status == http.StatusOK && json.Unmarshal(answer, &a) == nil {
		c.w.checkState(j, a.State)
		return a.State
	}
	return fmt.Sprint(status)
}

// cancel cancels a job, and repeats the call until it is acknowledged.
func (c *caller) cancel(j *job) bool {
	c.w.mu.Lock()
	j.cancelSent = time.Now()
	c.w.mu.Unlock()
	for i := range retries + 1 {
		status, _ := c.call(c.pick(), http.MethodDelete, c.prefix(j.queue)+j.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			c.w.mu.Lock()
			j.cancelled = time.Now()
			c.w.mu.Unlock()
			return true
		}
		time.Sleep(time.Duration(200*(i+1)) * time.Millisecond)
	}
	return false
}

// configure writes a configuration.
func (w *world) configure(version int, services []string, queues ...queue) {
	routes, list := []map[string]any{}, []map[string]any{}
	w.mu.Lock()
	for _, q := range queues {
		w.queues[q.Name] = q
		w.services[q.Name+"/"+q.Service] = true
		r := map[string]any{"Name": q.Name, "Host": queueHost, "Prefix": q.Prefix, "Service": q.Service, "Attempts": max(1, q.Attempts), "Stretch": 1.6, "SloMs": 600}
		if q.Advised {
			r["Advice"] = map[string]any{"DecideMs": adviceDecide.Milliseconds(), "EachMs": adviceEach.Milliseconds(), "ValidMs": w.adviceValid.Milliseconds()}
		}
		routes = append(routes, r)
	}
	w.note("operator: configuration %d: %v", version, queues)
	w.mu.Unlock()
	for _, s := range services {
		list = append(list, map[string]any{"Name": s, "RejectsOverload": true, "Standby": s == standbyPool})
	}
	w.store.put("op", "config", map[string]any{"Version": version, "Routes": routes, "Services": list, "Limits": map[string]any{"MaxBodyBytes": 262144}})
}

// checkState checks a state that a client was shown.
func (w *world) checkState(j *job, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state != "completed" {
		return
	}
	for k := range max(1, j.times) {
		for st := range j.steps {
			for i := range j.steps[st].Count {
				if t := fmt.Sprintf("%s.%d.%d.%d", j.id, k, st, i); !w.done[t] {
					w.breaks("MIXED", "job %s is shown as completed, and %s has not ended done", j.id, t)
					return
				}
			}
		}
	}
}

// body returns the body of the call that hands the job in.
func (j *job) body() map[string]any {
	body := map[string]any{"Spec": j.spec, "Steps": j.steps}
	if j.times > 0 {
		body["Times"], body["FirstMs"], body["IntervalMs"] = j.times, j.first.UnixMilli(), j.every.Milliseconds()
	}
	return body
}

// jobID returns the ID of a job as hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }
