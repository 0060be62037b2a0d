package drive

import (
	"container/heap"
	"math/rand/v2"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/sched"
)

const (
	tick      = 20 * time.Millisecond // between an entry's looks at held hosts
	roundTrip = time.Millisecond      // of a refusal by a target
	failTime  = 2 * time.Millisecond  // until work that fails has failed
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drive is a run of a plan.
type drive struct {
	plan
	randoms []*rand.Rand // by pool, so that pools do not disturb each other
	now     time.Duration
	seq     int
	events  events
	entries []*sched.Scheduler
	visits  []map[sched.Ticket]*visit  // by entry
	heard   []map[string]rock.PoolLoad // by entry, as told a second ago
	told    time.Time                  // when that was told
	handed  []sched.ForwardCounts      // by entry
	busy    map[string]int             // slots taken, by host
	count   int
	// generation counts the restarts.
	generation int
	tallies    []*tally
	// from and to bound the window in which useful work is counted.
	from, to time.Duration
}

func newDrive(p plan) *drive {
	d := &drive{plan: p, busy: map[string]int{}, to: p.length, handed: make([]sched.ForwardCounts, p.entries)}
	d.startEntries()
	seconds := int((p.length+10*p.timeout)/time.Second) + 2
	for label := range p.pools {
		d.randoms = append(d.randoms, rand.New(rand.NewPCG(p.seed, uint64(label)+100)))
		d.tallies = append(d.tallies, &tally{offers: make([]int, seconds), starts: make([]int, seconds)})
	}
	return d
}

func (d *drive) clock() time.Time { return start.Add(d.now) }

func (d *drive) at(t time.Duration, do func()) {
	d.seq++
	heap.Push(&d.events, event{t, d.seq, do})
}

// run plays the plan and returns the tallies by pool.
func (d *drive) run() []*tally {
	for label := range d.pools {
		d.schedule(label)
	}
	if d.restart > 0 {
		d.at(d.restart, d.restartEntries)
	}
	for e := range d.entries {
		d.look(e)
	}
	d.tell()
	for len(d.events) > 0 {
		next := heap.Pop(&d.events).(event)
		d.now = next.at
		next.do()
	}
	return d.tallies
}

// schedule schedules the next arrival of a pool.
func (d *drive) schedule(label int) {
	rate := d.rate(label, d.now)
	next := d.now + time.Duration(d.randoms[label].ExpFloat64()/rate*float64(time.Second))
	if next < d.length {
		d.at(next, func() { d.arrive(label); d.schedule(label) })
	}
}

// look grants held hosts at an entry, now and then.
func (d *drive) look(e int) {
	if d.now > d.length+5*d.timeout {
		return
	}
	if d.watch != nil {
		d.watch(d.clock(), d.entries[e])
	}
	for _, pool := range d.entries[e].WaitingPools() {
		d.dispatch(e, pool)
	}
	d.at(d.now+tick, func() { d.look(e) })
}
