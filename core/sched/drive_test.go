package sched_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/retry"
	"bramleyrock/core/sched"
	"bramleyrock/core/trace"
	"bramleyrock/io/fakes/config"
)

const (
	tick      = 20 * time.Millisecond // between an entry's looks at held hosts
	roundTrip = time.Millisecond      // of a refusal by a target
	failTime  = 2 * time.Millisecond  // until work that fails has failed
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// plan is an experiment in virtual time: entries of one zone that share the
// hosts of several pools.
type plan struct {
	seed     uint64
	pools    int
	hosts    int // per pool
	slots    int // per host
	entries  int
	service  time.Duration // mean of exponential run times
	even     bool          // run times are all the same
	timeout  time.Duration
	length   time.Duration
	settings sched.Settings
	// shared joins all pools into one.
	shared bool
	// blind entries do not know deadlines: late work waits and runs all the same.
	blind bool
	// counting entries count what they handed on, with the sharing owners.
	counting bool
	// sharing is how the entries share the hosts.
	sharing sharing
	// rate returns the arrivals a second.
	rate func(pool int, at time.Duration) float64
	// fails reports whether a host fails what it starts.
	fails func(host string, at time.Duration) bool
	// bad reports whether the n-th request of a pool fails wherever it runs.
	bad func(n int) bool
	// log takes the events of requests, if it is not nil.
	log *trace.Log
	// restart is when all entries are replaced by new ones, if it is not zero.
	restart time.Duration
	// watch is called at each look of an entry.
	watch func(now time.Time, s *sched.Scheduler)
	// cancelled reports whether the caller of the n-th request gives up, and
	// after what time.
	cancelled func(n int) (time.Duration, bool)
}

// sharing is a way in which entries share the hosts of their zone.
type sharing string

const (
	ownCounts sharing = ""       // each counts what it has in flight itself
	gossip    sharing = "gossip" // and heeds what the others told a second ago
	owners    sharing = "owners" // each host has an owner, the only one to place on it
)

// visit is one request on its way.
type visit struct {
	request rock.Request
	label   int
	entry   int
	era     int // generation of the entry
	arrived time.Duration
	begun   time.Duration
	work    time.Duration
	bad     bool
	history *retry.History
	ticket  sched.Ticket
	grant   sched.Grant
	running bool // granted a host
	holds   bool // holds a slot of its target
	waited  bool // has been granted a host before
	ended   bool
	attempt int
}

// tally is what was counted for one pool.
type tally struct {
	offered, refused, expired, failed, useful, collisions int
	// lostAfter counts idempotent requests that failed after the first 20
	// failures of hosts.
	lostAfter int
	failures  int
	work      time.Duration // of useful requests, within the window
	waits     []time.Duration
	offers    []int // by second
	starts    []int // by second
}

// p returns a quantile of the waits.
func (c *tally) p(q float64) time.Duration {
	if len(c.waits) == 0 {
		return 0
	}
	slices.Sort(c.waits)
	return c.waits[min(len(c.waits)-1, int(q*float64(len(c.waits))))]
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (s events) Len() int { return len(s) }
func (s events) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s events) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *events) Push(x any)   { *s = append(*s, x.(event)) }
func (s *events) Pop() any {
	e := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return e
}

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
	handed  []sched.Handed             // by entry
	busy    map[string]int             // slots taken, by host
	count   int
	// generation counts the restarts.
	generation int
	tallies    []*tally
	// from and to bound the window in which useful work is counted.
	from, to time.Duration
}

func newDrive(p plan) *drive {
	d := &drive{plan: p, busy: map[string]int{}, to: p.length, handed: make([]sched.Handed, p.entries)}
	d.startEntries()
	seconds := int((p.length+10*p.timeout)/time.Second) + 2
	for label := range p.pools {
		d.randoms = append(d.randoms, rand.New(rand.NewPCG(p.seed, uint64(label)+100)))
		d.tallies = append(d.tallies, &tally{offers: make([]int, seconds), starts: make([]int, seconds)})
	}
	return d
}

// startEntries starts new entries in place of those that run.
func (d *drive) startEntries() {
	d.entries, d.visits = nil, nil
	for e := range d.plan.entries {
		s := d.settings
		s.Place.Zone = "a"
		s.Place.Random = rand.New(rand.NewPCG(d.seed, uint64(e)+2))
		entry := sched.New(s)
		entry.Update(d.clock(), d.fleet(e))
		d.entries = append(d.entries, entry)
		d.visits = append(d.visits, map[sched.Ticket]*visit{})
	}
}

// restartEntries replaces all entries at once; what they had is lost.
func (d *drive) restartEntries() {
	d.startEntries()
	clear(d.busy)
	d.generation++
}

// pool returns the name of the pool that serves the label.
func (d *drive) pool(label int) string {
	if d.shared {
		label = 0
	}
	return fmt.Sprint("p", label)
}

// fleet returns the configuration as an entry uses it.
func (d *drive) fleet(e int) rock.Fleet {
	var pools []rock.Pool
	var hosts []rock.Host
	for i := range d.pools {
		pools = append(pools, rock.NewPool(fmt.Sprint("p", i), "", false))
		for j := range d.hosts {
			if d.sharing == owners && j%d.plan.entries != e {
				continue
			}
			hosts = append(hosts, rock.NewHost(rock.HostSpec{Name: fmt.Sprintf("p%dh%d", i, j), Zone: "a", Pool: d.pool(i), Slots: d.slots, Open: true}))
		}
	}
	return config.New(1, pools, hosts)
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
	for _, pool := range d.entries[e].Waiting() {
		d.dispatch(e, pool)
	}
	d.at(d.now+tick, func() { d.look(e) })
}

// tell lets all entries tell each other their loads, once a second.
func (d *drive) tell() {
	if d.sharing == ownCounts || d.now > d.length+d.timeout {
		return
	}
	d.told = d.clock()
	d.heard = nil
	for _, entry := range d.entries {
		loads := map[string]rock.PoolLoad{}
		for label := range d.pools {
			loads[d.pool(label)] = entry.Load(d.pool(label), rock.Normal)
		}
		d.heard = append(d.heard, loads)
	}
	d.at(d.now+time.Second, d.tell)
}

// route returns the entry that queues a request which arrived at entry e.
func (d *drive) route(e int, pool string) int {
	if d.sharing != owners {
		return e
	}
	best, least := e, d.entries[e].Load(pool, rock.Normal).Wait()
	for other, loads := range d.heard {
		wait := loads[pool].Wait() + roundTrip
		if d.counting {
			wait = d.handed[e].Wait(fmt.Sprint(other), d.told, loads[pool], d.service) + roundTrip
		}
		if other != e && wait < least {
			best, least = other, wait
		}
	}
	d.handed[e].Add(fmt.Sprint(best), d.told, pool)
	return best
}

// crowded reports whether the others are believed to hold the pool's last
// slots.
func (d *drive) crowded(e int, pool string) bool {
	if d.sharing != gossip {
		return false
	}
	load := d.entries[e].Load(pool, rock.Normal)
	taken := load.InFlight()
	for other, loads := range d.heard {
		if other != e {
			taken += loads[pool].InFlight()
		}
	}
	return taken >= load.Slots()
}

func (d *drive) arrive(label int) {
	d.count++
	t := d.tallies[label]
	t.offered++
	t.offers[int(d.now/time.Second)]++
	e := d.route(d.randoms[label].IntN(len(d.entries)), d.pool(label))
	v := &visit{label: label, entry: e, era: d.generation, arrived: d.now, work: d.runTime(label)}
	v.request = rock.NewRequest(rock.RequestSpec{
		ID: fmt.Sprint(d.count), Pool: d.pool(label), Idempotent: true, Deadline: d.clock().Add(d.timeout),
		Payload: fmt.Appendf(nil, "%d", d.count),
	})
	if d.bad != nil && d.bad(d.count) {
		v.bad = true
	}
	v.history = retry.NewHistory(v.request)
	ticket, err := d.entries[e].Submit(d.clock(), v.request)
	d.note(v, trace.Event{Kind: trace.Arrived, Pool: v.request.Pool()})
	if err != nil {
		t.refused++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.NotRun, Reason: rock.ReasonOf(err)})
		return
	}
	d.wait(v, ticket)
	if !d.blind {
		d.at(d.now+d.timeout, func() { d.expire(v, rock.DeadlineExceeded) })
	}
	if d.cancelled != nil {
		if after, ok := d.cancelled(d.count); ok {
			d.at(d.now+after, func() { d.expire(v, rock.Cancelled) })
		}
	}
	d.dispatch(e, v.request.Pool())
}

// runTime returns how long the next request runs.
func (d *drive) runTime(label int) time.Duration {
	if d.even {
		return d.service
	}
	return time.Duration(d.randoms[label].ExpFloat64() * float64(d.service))
}

// note adds an event of the request to the log.
func (d *drive) note(v *visit, e trace.Event) {
	e.At, e.Entry, e.RequestID, e.Idempotent = d.clock(), fmt.Sprint("e", v.entry), v.request.ID(), true
	d.log.Add(e)
}

func (d *drive) wait(v *visit, ticket sched.Ticket) {
	v.ticket = ticket
	d.visits[v.entry][ticket] = v
}

// dispatch starts what an entry grants.
func (d *drive) dispatch(e int, pool string) {
	for _, ticket := range d.entries[e].Late(d.clock(), pool) {
		v := d.visits[e][ticket]
		delete(d.visits[e], ticket)
		v.ended = true
		d.tallies[v.label].expired++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.NotRun, Reason: rock.Overloaded})
	}
	for !d.crowded(e, pool) {
		g, ok := d.entries[e].Next(d.clock(), pool)
		if !ok {
			return
		}
		v := d.visits[e][g.Ticket()]
		delete(d.visits[e], g.Ticket())
		d.begin(v, g)
	}
}

// begin sends a request to its target.
func (d *drive) begin(v *visit, g sched.Grant) {
	t := d.tallies[v.label]
	v.grant, v.running = g, true
	v.attempt++
	v.begun = d.now
	attempt := v.attempt
	end := func(err error) func() {
		return func() {
			if v.attempt == attempt && !v.ended && v.era == d.generation {
				d.finish(v, err)
			}
		}
	}
	host := g.Host().Name()
	if d.busy[host] >= d.slots {
		t.collisions++
		d.at(d.now+roundTrip, end(rock.Fail("start", host, rock.Overloaded, rock.NotRun)))
		return
	}
	t.starts[int(d.now/time.Second)]++
	if !v.waited {
		v.waited = true
		t.waits = append(t.waits, d.now-v.arrived)
		d.note(v, trace.Event{Kind: trace.Sent, TaskID: v.request.ID(), Host: host})
	}
	d.busy[host]++
	v.holds = true
	if v.bad || d.fails != nil && d.fails(host, d.now) {
		d.at(d.now+failTime, end(rock.Fail("run", host, rock.WorkFailed, rock.MayHaveRun)))
		return
	}
	d.at(d.now+v.work, end(nil))
}

// release gives the target's slot back.
func (d *drive) release(v *visit) {
	if v.holds {
		d.busy[v.grant.Host().Name()]--
		v.holds = false
	}
}

func (d *drive) finish(v *visit, err error) {
	t, entry := d.tallies[v.label], d.entries[v.entry]
	d.release(v)
	v.running = false
	entry.Finish(d.clock(), v.grant, v.work, err)
	defer d.dispatch(v.entry, v.request.Pool())
	if err == nil && d.now > v.arrived+d.timeout {
		v.ended = true
		t.failed++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.MayHaveRun, Reason: rock.DeadlineExceeded})
		return
	}
	if err == nil {
		v.ended = true
		t.useful++
		d.note(v, trace.Event{Kind: trace.Answered, Digest: trace.Digest(v.request.Payload())})
		if d.now >= d.from && d.now < d.to {
			t.work += v.work
		}
		return
	}
	if !sched.Refused(err) {
		t.failures++
		v.history.Try(v.grant.Host().Name())
		v.history.Add(err)
		if entry.Retry(d.clock(), v.request, v.history, err) != nil {
			v.ended = true
			t.failed++
			d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.VerdictOf(err), Reason: rock.ReasonOf(err)})
			if t.failures > 20 {
				t.lostAfter++
			}
			return
		}
	}
	ticket, refused := entry.Resume(d.clock(), v.request, v.history.Tried())
	if refused != nil {
		v.ended = true
		t.refused++
		return
	}
	d.wait(v, ticket)
}

// expire ends a request whose caller gave up.
func (d *drive) expire(v *visit, reason rock.Reason) {
	if v.ended || v.era != d.generation {
		return
	}
	v.ended = true
	t, entry := d.tallies[v.label], d.entries[v.entry]
	if !v.running {
		entry.Withdraw(v.ticket)
		delete(d.visits[v.entry], v.ticket)
		t.expired++
		d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.NotRun, Reason: reason})
		return
	}
	d.release(v)
	entry.Finish(d.clock(), v.grant, d.now-v.begun, rock.Fail("run", "", reason, rock.MayHaveRun))
	t.failed++
	d.note(v, trace.Event{Kind: trace.Refused, Verdict: rock.MayHaveRun, Reason: reason})
	d.dispatch(v.entry, v.request.Pool())
}

// today is a zone of today's size with two entries, and five pools of 24 slots
// at half and four fifths of what they can do.
func today(seed uint64, surge bool) plan {
	return plan{
		seed: seed, pools: 5, hosts: 3, slots: 8, entries: 2,
		service: 100 * time.Millisecond, timeout: 2 * time.Second, length: 25 * time.Second,
		rate: func(pool int, at time.Duration) float64 {
			if pool > 0 {
				return 0.8 * 240
			}
			switch mean := 0.5 * 240; {
			case surge && at >= 10*time.Second && at < 20*time.Second:
				return 5 * mean
			case surge && at >= 20*time.Second:
				return mean / 20
			default:
				return mean
			}
		},
	}
}

// with returns p with changed settings.
func (p plan) with(change func(s *sched.Settings)) plan {
	change(&p.settings)
	return p
}
