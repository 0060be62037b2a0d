package eject

import (
	"slices"
	"time"

	rock "bramleyrock"
)

// Quarantine remembers work that failed and refuses what failed on several
// hosts. It is not safe for concurrent use.
type Quarantine struct {
	settings Settings
	records  map[workID]*failureRecord
	// order holds the ids in the order of their first failure.
	order []workID
}

// probeInterval is the time between tries of quarantined work, which end the
// quarantine if they succeed.
const probeInterval = time.Second

// NewQuarantine returns an empty quarantine.
func NewQuarantine(s Settings) *Quarantine {
	return &Quarantine{settings: s.withDefaults(), records: map[workID]*failureRecord{}}
}

// Check refuses a request whose work is quarantined. Hosts is the number of
// hosts on which it could run. Now and then one request is let through, so that
// work which failed for another reason comes back soon.
func (q *Quarantine) Check(now time.Time, r rock.Request, hosts int) error {
	if len(q.records) == 0 {
		return nil
	}
	f := q.records[workIDOf(r)]
	if f == nil || len(f.hosts) < q.threshold(hosts) || !now.Before(f.quarantinedUntil) {
		return nil
	}
	if !now.Before(f.nextProbe) {
		f.nextProbe = now.Add(probeInterval)
		return nil
	}
	return rock.Fail("admit", "request "+r.ID(), rock.Quarantined, rock.NotRun).RetryIn(f.quarantinedUntil.Sub(now)).Becausef("the same work failed on %d hosts", len(f.hosts))
}

// Contains reports whether the work of a request that failed is quarantined.
func (q *Quarantine) Contains(r rock.Request, hosts int) bool {
	f := q.records[workIDOf(r)]
	return f != nil && len(f.hosts) >= q.threshold(hosts)
}

// threshold returns on how many of a number of hosts work must fail.
func (q *Quarantine) threshold(hosts int) int {
	return max(2, min(q.settings.MinFailedHosts, hosts))
}

// Record notes the outcome of a request's work on a host. It reports whether a
// failure speaks against the host: that of work which failed on another host
// before does not.
func (q *Quarantine) Record(now time.Time, r rock.Request, host string, failed bool) bool {
	if !failed {
		if len(q.records) > 0 {
			delete(q.records, workIDOf(r))
		}
		return false
	}
	id := workIDOf(r)
	f := q.records[id]
	if f == nil || !now.Before(f.quarantinedUntil) {
		q.add(id, &failureRecord{hosts: []string{host}, quarantinedUntil: now.Add(q.settings.QuarantineTime)})
		return true
	}
	first := f.hosts[0] == host
	if !slices.Contains(f.hosts, host) && len(f.hosts) < q.settings.MinFailedHosts {
		f.hosts = append(f.hosts, host)
		f.quarantinedUntil, f.nextProbe = now.Add(q.settings.QuarantineTime), now.Add(probeInterval)
	}
	return first && len(f.hosts) == 1
}

// add remembers failing work, in place of the oldest if there is no room.
func (q *Quarantine) add(id workID, f *failureRecord) {
	if _, known := q.records[id]; !known {
		q.order = append(q.order, id)
	}
	q.records[id] = f
	for len(q.order) > q.settings.MaxEntries {
		delete(q.records, q.order[0])
		q.order = q.order[1:]
	}
}
