package trace

import (
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
)

// inForceLimit is the time within which an accepted change must be in force at
// every entry.
const inForceLimit = 10 * time.Second

// inForceWithin checks that an accepted change, or a newer one, is in force at
// every entry within [inForceLimit]. The time counts from when the change was
// accepted, or from when the entry started or could reach the platform again if
// that is later. An entry that ends or is cut off within the limit is not checked.
// For each period of an entry, only the first late change is reported.
func inForceWithin(h *history, r *report) {
	var accepted []Event
	for _, e := range h.events {
		if e.Kind == ChangeAccepted {
			accepted = append(accepted, e)
		}
	}
	periods := connectedPeriods(h)
	for _, name := range slices.Sorted(maps.Keys(periods)) {
		for _, p := range periods[name] {
			p.check(name, accepted, r)
		}
	}
}

// period is a time in which an entry runs and can reach the platform.
type period struct {
	from    time.Time
	to      time.Time
	initial rock.Revision // in force at the start
	changes []Event       // the entry's [ChangeInForce] events in the period
}

// connectedPeriods returns the periods of each entry.
func connectedPeriods(h *history) map[string][]*period {
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
			if p := open[e.Entry]; p != nil {
				p.changes = append(p.changes, e)
			}
		case EntryCut, EntryLost, EntryLeaving, EntryStopped:
			if p := open[e.Entry]; p != nil {
				p.to = e.At
				delete(open, e.Entry)
			}
		}
	}
	return all
}

// check reports the first accepted change that was not in force in time during the
// period.
func (p *period) check(entry string, accepted []Event, r *report) {
	inForce := p.initial
	next := 0
	for _, a := range accepted {
		since := a.At
		if since.Before(p.from) {
			since = p.from
		}
		deadline := since.Add(inForceLimit)
		if deadline.After(p.to) {
			return
		}
		for next < len(p.changes) && !p.changes[next].At.After(deadline) {
			inForce = max(inForce, p.changes[next].Revision)
			next++
		}
		if inForce < a.Revision {
			r.add(a, "revision %d was not in force at %s after %v: revision %d was", a.Revision, entry, inForceLimit, inForce)
			return
		}
	}
}
