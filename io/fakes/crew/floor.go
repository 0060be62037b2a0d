package crew

import (
	"fmt"
	"slices"
	"time"
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
		f.running[host] = slices.DeleteFunc(tasks, func(t task) bool { return !t.lapses.After(now) })
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
func (f *Floor) End(host string, id int) {
	same := func(t task) bool { return t.id == id }
	f.coming = slices.DeleteFunc(f.coming, same)
	f.running[host] = slices.DeleteFunc(f.running[host], same)
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
