package trace

import (
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
)

// inForceLimit is how long an accepted change may take to be in force.
const inForceLimit = 10 * time.Second

// inForceWithin: an accepted change, or a newer one, is in force at every
// entry within ten seconds, counted from when the entry started or could reach
// the platform again if that is later. Entries that end or are cut off before
// are not judged, and of a stretch of time in which an entry is late only the
// first change is reported.
func inForceWithin(h *history, r *report) {
	var accepted []Event
	for _, e := range h.events {
		if e.Kind == ChangeAccepted {
			accepted = append(accepted, e)
		}
	}
	stretches := reachable(h)
	for _, name := range slices.Sorted(maps.Keys(stretches)) {
		for _, s := range stretches[name] {
			s.check(name, accepted, r)
		}
	}
}

// period is a time in which an entry is up and not cut off, and what it puts
// in force during it.
type period struct {
	from    time.Time
	to      time.Time
	initial rock.Revision
	changes []Event
}

// reachable returns the stretches of each entry.
func reachable(h *history) map[string][]*period {
	all := map[string][]*period{}
	open := map[string]*period{}
	newest := map[string]rock.Revision{}
	begin := func(e Event) {
		if open[e.Entry] == nil {
			open[e.Entry] = &period{from: e.At, to: h.end(), initial: newest[e.Entry]}
			all[e.Entry] = append(all[e.Entry], open[e.Entry])
		}
	}
	for _, e := range h.events {
		switch e.Kind {
		case EntryStarted:
			newest[e.Entry] = 0
			begin(e)
		case EntryHealed:
			begin(e)
		case ChangeInForce:
			newest[e.Entry] = e.Revision
			if s := open[e.Entry]; s != nil {
				s.changes = append(s.changes, e)
			}
		case EntryCut, EntryLost, EntryLeaving, EntryStopped:
			if s := open[e.Entry]; s != nil {
				s.to = e.At
				delete(open, e.Entry)
			}
		}
	}
	return all
}

// check reports the first accepted change that is late in the stretch.
func (s *period) check(entry string, accepted []Event, r *report) {
	force := s.initial
	next := 0
	for _, a := range accepted {
		since := a.At
		if since.Before(s.from) {
			since = s.from
		}
		due := since.Add(inForceLimit)
		if due.After(s.to) {
			return
		}
		for next < len(s.changes) && !s.changes[next].At.After(due) {
			force = max(force, s.changes[next].Revision)
			next++
		}
		if force < a.Revision {
			r.add(a, "revision %d was not in force at %s %v later, but %d", a.Revision, entry, inForceLimit, force)
			return
		}
	}
}
