package drain

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
)

// Drained reports whether the host is proved to be drained. If it is not, it
// returns what the proof still waits for.
func (v View) Drained(q Query) (string, bool) {
	entries := v.byZone[q.Zone]
	if len(entries) == 0 && !slices.Contains(q.CountedOut, "zone/"+q.Zone) {
		return fmt.Sprintf("the status row of an entry of zone %s", q.Zone), false
	}
	newest := q.ClosedAt
	for _, e := range entries {
		if !v.cannotAct(e, q.CountedOut) {
			if waitsFor, ok := reportedIdle(e, q); !ok {
				return waitsFor, false
			}
		}
		at := v.history.firstReport(reportKey{q.Host, q.OpenRevision, e.Member().Incarnation()}, v.lastActive(e))
		if at.After(newest) {
			newest = at
		}
	}
	return v.noLeases(q, newest)
}

// cannotAct reports whether there is evidence that the entry is not running any
// more, or an operator confirmed it.
func (v View) cannotAct(e rock.EntryStatus, countedOut []string) bool {
	m := e.Member()
	if e.State() == rock.EntryGone || v.superseded(e) || v.hostGone(e) {
		return true
	}
	return slices.Contains(countedOut, m.Name()+"/"+m.Incarnation())
}

// superseded reports whether a newer incarnation has the entry's address.
func (v View) superseded(e rock.EntryStatus) bool {
	latest := v.byAddress[e.Member().Address()]
	return latest.Member().Incarnation() != e.Member().Incarnation() && latest.At().After(e.At())
}

// hostGone reports whether the platform lists the entry's host as gone.
func (v View) hostGone(e rock.EntryStatus) bool {
	h, ok := v.hosts[e.Member().Name()]
	return ok && h.State() == rock.HostGone
}

// lastActive returns the latest time at which the entry is known to have been
// able to act.
func (v View) lastActive(e rock.EntryStatus) time.Time {
	if v.hostGone(e) {
		return v.hosts[e.Member().Name()].AsOf()
	}
	return e.At()
}

// reportedIdle reports whether the entry's status shows that it knows the host to
// be closed and has nothing in flight there. If not, it returns what to wait for.
func reportedIdle(e rock.EntryStatus, q Query) (string, bool) {
	name := e.Member().Name()
	inFlight, known := e.InFlight(q.Host)
	switch {
	case e.Revision() <= q.OpenRevision || !known:
		return fmt.Sprintf("entry %s, last heard at %s, to learn that host %s is closed",
			name, e.At().UTC().Format(time.RFC3339), q.Host), false
	case inFlight > 0:
		return fmt.Sprintf("%d tasks in flight from entry %s to host %s", inFlight, name, q.Host), false
	}
	return "", true
}

// noLeases reports whether a view of the host that the platform took after the
// given time, plus the skew, shows no running lease. If not, it returns what to
// wait for.
func (v View) noLeases(q Query, after time.Time) (string, bool) {
	skew := q.Skew
	if skew <= 0 {
		skew = defaultSkew
	}
	h, ok := v.hosts[q.Host]
	switch {
	case !ok:
		return fmt.Sprintf("host %s to appear in the platform's list", q.Host), false
	case !h.AsOf().After(after.Add(skew)):
		return fmt.Sprintf("a view of host %s by the platform that is newer than the drain", q.Host), false
	case h.State() == rock.HostGone:
		return "", true
	case h.Leases() > 0:
		return fmt.Sprintf("%d leases running on host %s by the platform's view", h.Leases(), q.Host), false
	}
	return "", true
}
