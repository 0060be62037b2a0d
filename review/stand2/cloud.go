//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// machine is a machine of the platform. The lock of the world guards its fields.
type machine struct {
	name     string
	pool     string
	zone     string
	state    string
	labels   []string
	executor *executor
	// holder and token are those of the last order, at orderedAt.
	holder    string
	token     uint64
	orderedAt time.Time
}

// waveState is a wave of upkeep.
type waveState struct {
	number   int64
	machines []string
	limit    int
	begun    map[string]bool
	down     map[string]bool
}

const standbyPool = "spare"

// addMachines adds machines with an executor each, which are off in the standby pool.
func (w *world) addMachines(pool string, count int, labels ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range count {
		m := &machine{name: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, zone: "z1", state: "up", labels: append(slices.Clone(labels), fmt.Sprintf("r-%d", i/4))}
		w.machines = append(w.machines, m)
		if pool != standbyPool {
			w.startExecutor(m, w.newExecutorID())
		}
	}
}

// serveCloud serves the calls about machines.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/-/machines" {
		list := []map[string]any{}
		for _, m := range w.machines {
			id := ""
			if m.executor != nil {
				id = m.executor.id
			}
			list = append(list, map[string]any{
				"Machine": m.name, "Pool": m.pool, "State": m.state, "Zone": m.zone, "Labels": m.labels, "Id": id,
				"Capacity": map[string]int{"Cpu": executorCPU, "MemMb": executorMem, "Gpu": 0},
			})
		}
		writeJSON(rw, http.StatusOK, map[string]any{"Machines": list, "NextToken": ""})
		return
	}
	var o struct {
		Machine, Pool string
		Wave          int64
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(rw, "token or body cannot be read", http.StatusBadRequest)
		return
	}
	status, reason := w.orderMachine(r.URL.Path, o.Machine, o.Pool, o.Wave, r.Header.Get("X-Duty-Holder"), token)
	w.note("order %s %s pool %q wave %d by %s token %d: %d %s", r.URL.Path, o.Machine, o.Pool, o.Wave, r.Header.Get("X-Duty-Holder"), token, status, reason)
	writeJSON(rw, status, map[string]any{"Reason": reason})
}

// orderMachine carries out an order for a machine. The caller holds the lock.
func (w *world) orderMachine(path, name, pool string, number int64, holder string, token uint64) (int, string) {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return http.StatusBadRequest, "no such machine"
	}
	m, now := w.machines[i], time.Now()
	if m.holder != "" && m.holder != holder {
		if m.token == token {
			w.breaks("ONE", "%s and %s order %s with token %d", m.holder, holder, name, token)
		}
		if now.Sub(m.orderedAt) < 3*time.Second && w.bothInTouch {
			w.breaks("ONE", "%s orders %s %v after %s", holder, name, now.Sub(m.orderedAt), m.holder)
		}
	}
	if token < m.token {
		w.breaks("ONE", "%s orders %s with token %d after %d", holder, name, token, m.token)
	}
	m.holder, m.token, m.orderedAt = holder, token, now
	var wave *waveState
	if path == "/-/machine-upkeep" {
		wave = w.waves[number]
		switch {
		case wave == nil || !slices.Contains(wave.machines, name):
			return http.StatusConflict, "wave"
		case wave.begun[name]:
			return http.StatusOK, ""
		}
	} else if m.pool == pool {
		return http.StatusOK, ""
	}
	if m.state != "up" {
		return http.StatusConflict, "busy"
	}
	if m.executor != nil {
		id := m.executor.id
		m.executor.kill()
		go w.store.remove("servers", id)
	}
	away := moveTime
	if wave != nil {
		if len(wave.down) >= wave.limit {
			w.breaks("LIMIT", "upkeep of %s while %d machines of wave %d are down", name, len(wave.down), number)
		}
		m.state, away = "upkeep", upkeepTime
		wave.begun[name], wave.down[name] = true, true
	} else {
		m.state, m.pool = "moving", pool
	}
	time.AfterFunc(away, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.state = "up"
		if wave != nil {
			delete(wave.down, name)
		}
		if m.pool != standbyPool {
			w.startExecutor(m, w.newExecutorID())
		}
	})
	return http.StatusOK, ""
}

// requestWave asks for the upkeep of machines.
func (w *world) requestWave(number int64, limit int, within time.Duration, machines ...string) {
	w.mu.Lock()
	w.waves[number] = &waveState{number: number, machines: machines, limit: limit, begun: map[string]bool{}, down: map[string]bool{}}
	w.note("operator: wave %d of %v, %d at once, within %v", number, machines, limit, within)
	w.mu.Unlock()
	w.store.put("op", fmt.Sprintf("wave/%d", number), map[string]any{"Wave": number, "Machines": machines, "DurationS": within.Seconds(), "Cap": limit})
}

// serveAdvice answers which executors may run a step, one call at a time.
func (w *world) serveAdvice(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || len(o.Workers) > 100 {
		http.Error(rw, "call cannot be read", http.StatusBadRequest)
		return
	}
	w.advising.Lock()
	time.Sleep(adviceDecide + time.Duration(len(o.Workers))*adviceEach)
	w.advising.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	good := [][]string{}
	j, _ := w.findTask(o.Step + ".0")
	for _, id := range o.Workers {
		e := w.executors[id]
		if j == nil || e == nil || e.dead || !w.policies[j.queue](e) {
			continue
		}
		ticket := fmt.Sprintf("t-%s-%s", o.Step, id)
		e.tickets[o.Step] = ticket
		good = append(good, []string{id, ticket})
	}
	w.note("advice for %s: of %v good are %v", o.Step, o.Workers, good)
	writeJSON(rw, http.StatusOK, map[string]any{"Good": good, "ValidMs": w.adviceValid.Milliseconds()})
}

// Times of the service for advice.
const (
	adviceDecide = 20 * time.Millisecond
	adviceEach   = 2 * time.Millisecond
)
