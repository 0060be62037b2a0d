package crew

import (
	"slices"
	"time"

	rock "bramleyrock"
)

// deliveryTime is the longest time that a task is on its way to its target.
const deliveryTime = time.Second

// Entry is an entry process. It is not safe for concurrent use.
type Entry struct {
	set      Settings
	fleet    rock.Fleet
	inFlight map[string]int
	chosen   []rock.Host
	sent     []sent
	contact  time.Time
	reported rock.EntryStatus
	frozen   bool
	cut      bool
	dead     bool
	// listed is true once a status row of this incarnation was written, and
	// registered once the configuration was read again after that.
	listed     bool
	registered bool
}

// sent is a task that the entry has in flight.
type sent struct {
	id   int
	host string
	ends time.Time
}

// NewEntry returns an entry that knows no configuration yet.
func NewEntry(s Settings) *Entry { return &Entry{set: s, inFlight: map[string]int{}} }

// Member returns the entry's identity.
func (e *Entry) Member() rock.Member { return e.set.Member }

// Freeze stops the entry until Thaw.
func (e *Entry) Freeze() { e.frozen = true }

// Thaw lets a frozen entry go on where it stopped.
func (e *Entry) Thaw() { e.frozen = false }

// Cut separates the entry from the platform, or joins it again.
func (e *Entry) Cut(cut bool) { e.cut = cut }

// Kill ends the process. Its tasks run on until their leases lapse.
func (e *Entry) Kill() { e.dead = true }

// Dead reports whether the process has ended.
func (e *Entry) Dead() bool { return e.dead }

// Running reports whether the process runs and is not frozen.
func (e *Entry) Running() bool { return !e.dead && !e.frozen }

// Revision returns the revision in force at the entry.
func (e *Entry) Revision() rock.Revision {
	if e.fleet == nil {
		return 0
	}
	return e.fleet.Revision()
}

// Poll puts the platform's configuration in force, if it can be reached.
func (e *Entry) Poll(now time.Time) {
	if !e.Running() || e.cut {
		return
	}
	e.contact = now
	e.registered = e.listed
	if f, ok := e.set.Source.Fleet(); ok && f.Revision() > e.Revision() {
		e.fleet = f
	}
}

// Adopt puts the configuration of a peer of the same zone in force, as a new
// entry does that cannot reach the platform.
func (e *Entry) Adopt(peer *Entry) {
	if !e.Running() || !peer.Running() || peer.Revision() <= e.Revision() {
		return
	}
	e.fleet = peer.fleet
	e.contact = peer.contact
}

// Settled reports whether a closed host has nothing in flight any more of which
// the last status row does not say so.
func (e *Entry) Settled() bool {
	for host, n := range e.inFlight {
		if was, ok := e.reported.InFlight(host); ok && n == 0 && was > 0 {
			return true
		}
	}
	return e.Revision() > e.reported.Revision()
}

// Report writes the entry's status row, if the platform can be reached.
func (e *Entry) Report(now time.Time) {
	if !e.Running() || e.cut || e.fleet == nil {
		return
	}
	e.reported = e.status(now)
	e.listed = e.set.Registry.Write(e.reported)
}

func (e *Entry) status(now time.Time) rock.EntryStatus {
	closed := map[string]int{}
	for _, r := range e.fleet.Records(rock.KindHost) {
		if h, ok := e.fleet.Host(r.Key().Name()); ok && h.Zone() == e.set.Member.Zone() && !h.Open() {
			closed[h.Name()] = e.inFlight[h.Name()]
		}
	}
	return rock.NewEntryStatus(e.set.Member, rock.EntryRunning, e.Revision(), now, closed)
}

// Choose picks an open host of the pool in the entry's zone, and reports
// whether there is one.
func (e *Entry) Choose(now time.Time, pool string) bool {
	if !e.Running() || e.fleet == nil || e.fenced(now) {
		return false
	}
	if !e.mayPlace() {
		return false
	}
	var open []rock.Host
	for _, h := range e.fleet.PoolHosts(pool, e.set.Member.Zone()) {
		if h.Open() {
			open = append(open, h)
		}
	}
	if len(open) == 0 {
		return false
	}
	e.chosen = append(e.chosen, open[e.set.Random.IntN(len(open))])
	return true
}

// mayPlace reports whether the entry is registered, as far as its settings
// ask for that.
func (e *Entry) mayPlace() bool {
	return e.registered || e.set.PlaceUnregistered || e.listed && e.set.PlaceListed
}

func (e *Entry) fenced(now time.Time) bool {
	return e.set.FenceAfter > 0 && now.Sub(e.contact) > e.set.FenceAfter
}

// Send counts a task as in flight on one of the chosen hosts, looks again
// whether the host is open, and sends the task.
func (e *Entry) Send(now time.Time) {
	if !e.Running() || len(e.chosen) == 0 {
		return
	}
	i := e.set.Random.IntN(len(e.chosen))
	h := e.chosen[i]
	e.chosen = slices.Delete(e.chosen, i, i+1)
	e.inFlight[h.Name()]++
	if is, ok := e.fleet.Host(h.Name()); !e.set.NoRecheck && (!ok || !is.Open() || is.Pool() != h.Pool()) {
		e.inFlight[h.Name()]--
		return
	}
	delay := time.Duration(e.set.Random.Int64N(int64(deliveryTime)))
	id := e.set.Floor.Deliver(now.Add(delay), h.Name(), h.Pool(), e.set.Member.Incarnation())
	ends := now.Add(delay)
	if e.set.TaskTime > 0 {
		ends = ends.Add(time.Duration(e.set.Random.Int64N(int64(e.set.TaskTime))))
	}
	e.sent = append(e.sent, sent{id, h.Name(), ends})
}

// Renew renews the leases of all tasks in flight.
func (e *Entry) Renew(now time.Time) {
	if !e.Running() {
		return
	}
	for _, s := range e.sent {
		e.set.Floor.Renew(now, s.host, s.id)
	}
}

// Finish ends the task that is in flight for the longest time.
func (e *Entry) Finish(now time.Time) {
	if !e.Running() || len(e.sent) == 0 {
		return
	}
	s := e.sent[0]
	e.sent = e.sent[1:]
	e.set.Floor.End(now, s.host, s.id)
	e.inFlight[s.host]--
}

// FinishDue ends the tasks whose time is over.
func (e *Entry) FinishDue(now time.Time) {
	if !e.Running() {
		return
	}
	left := e.sent[:0]
	for _, s := range e.sent {
		if s.ends.After(now) {
			left = append(left, s)
			continue
		}
		e.set.Floor.End(now, s.host, s.id)
		e.inFlight[s.host]--
	}
	e.sent = left
}
