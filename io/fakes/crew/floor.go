package crew

import (
	"fmt"
	"slices"
	"time"

	"bramleyrock/core/trace"
)

// taskLease is how long a task runs without a renewal.
const taskLease = 20 * time.Second

// Floor is the targets of a site. It is not safe for concurrent use.
type Floor struct {
	next       int
	coming     []task
	running    map[string][]task
	started    map[string]int
	violations []string
	log        *trace.Log
}

// Record makes the floor note what its targets start and end in the log.
func (f *Floor) Record(log *trace.Log) { f.log = log }

// note notes that a target started or ended a task.
func (f *Floor) note(now time.Time, kind trace.Kind, t task) {
	if f.log == nil {
		return
	}
	e := trace.Event{At: now, Kind: kind, Host: t.host, TaskID: fmt.Sprint(t.id), Pool: t.pool, Entry: t.entry}
	if kind == trace.Ended {
		e.State = "done"
	}
	f.log.Add(e)
}

// NewFloor returns targets that run nothing.
func NewFloor() *Floor {
	return &Floor{running: map[string][]task{}, started: map[string]int{}}
}

// Deliver sends a task to its target, which starts it at the time at.
func (f *Floor) Deliver(at time.Time, host, pool, entry string) int {
	f.next++
	f.coming = append(f.coming, task{f.next, host, pool, entry, at, at.Add(taskLease)})
	return f.next
}

// Tick starts the tasks that have arrived and stops those whose lease lapsed.
func (f *Floor) Tick(now time.Time) {
	waiting := f.coming[:0]
	for _, t := range f.coming {
		if t.arrives.After(now) {
			waiting = append(waiting, t)
			continue
		}
		f.start(now, t)
	}
	f.coming = waiting
	for host, tasks := range f.running {
		f.running[host] = slices.DeleteFunc(tasks, func(t task) bool {
			if t.lapses.After(now) {
				return false
			}
			f.note(now, trace.Ended, t)
			return true
		})
	}
}

func (f *Floor) start(now time.Time, t task) {
	for _, other := range f.running[t.host] {
		if other.pool != t.pool {
			f.violations = append(f.violations, fmt.Sprintf("%s: host %s starts a task of pool %s from %s while it runs one of pool %s from %s",
				now.Format(time.TimeOnly), t.host, t.pool, t.entry, other.pool, other.entry))
		}
	}
	f.started[t.host]++
	f.note(now, trace.Started, t)
	f.running[t.host] = append(f.running[t.host], t)
}

// Renew extends the lease of a task.
func (f *Floor) Renew(now time.Time, host string, id int) {
	for i, t := range f.running[host] {
		if t.id == id {
			f.running[host][i].lapses = now.Add(taskLease)
		}
	}
}

// End ends a task, whether it has arrived or not.
func (f *Floor) End(now time.Time, host string, id int) {
	f.coming = slices.DeleteFunc(f.coming, func(t task) bool { return t.id == id })
	f.running[host] = slices.DeleteFunc(f.running[host], func(t task) bool {
		if t.id == id {
			f.note(now, trace.Ended, t)
		}
		return t.id == id
	})
}

// Reboot stops everything on the host and returns how many tasks it cut.
func (f *Floor) Reboot(host string) int {
	n := len(f.running[host])
	f.running[host] = nil
	return n
}

// Leases returns how many tasks run on the host.
func (f *Floor) Leases(host string) int { return len(f.running[host]) }

// Started returns how many tasks the host has started.
func (f *Floor) Started(host string) int { return f.started[host] }

// Violations returns each start of a task on a host that ran a task of
// another pool.
func (f *Floor) Violations() []string { return f.violations }
