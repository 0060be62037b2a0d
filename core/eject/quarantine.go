package eject

import (
	"slices"
	"time"

	rock "bramleyrock"
)

// Quarantine records work that failed and refuses work that failed on several
// hosts. It is not safe for concurrent use.
type Quarantine struct {
	settings Settings
	records  map[workID]*failureRecord
	// order holds the ids in the order of their first failure.
	order []workID
}

// probeInterval is the time between two requests with quarantined work that are
// let through. If one succeeds, the quarantine of the work ends.
const probeInterval = time.Second

// NewQuarantine returns an empty quarantine.
func NewQuarantine(s Settings) *Quarantine {
	return &Quarantine{settings: s.withDefaults(), records: map[workID]*failureRecord{}}
}

// Check returns an error with verdict [rock.NotRun] for a request whose work is
// quarantined. Hosts is the number of hosts on which the request could run. One
// request per second is let through as a probe, so that work which failed for
// another reason is admitted again soon.
func (q *Quarantine) Check(now time.Time, r rock.Request, hosts int) error {
	if len(q.records) == 0 {
		return nil
	}
	f := q.records[workIDOf(r)]
	if f == nil || len(f.hosts) < q.threshold(hosts) || !now.Before(f.expiresAt) {
		return nil
	}
	if !now.Before(f.nextProbe) {
		f.nextProbe = now.Add(probeInterval)
		return nil
	}
	return rock.Fail("admit", "request "+r.ID(), rock.Quarantined, rock.NotRun).RetryIn(f.expiresAt.Sub(now)).Becausef("the same work failed on %d hosts", len(f.hosts))
}

// Contains reports whether the request's work has failed on enough hosts to be
// quarantined. Hosts is the number of hosts on which it could run.
func (q *Quarantine) Contains(r rock.Request, hosts int) bool {
	f := q.records[workIDOf(r)]
	return f != nil && len(f.hosts) >= q.threshold(hosts)
}

// threshold returns on how many different hosts work has to fail before it is
// quarantined, if it could run on the given number of hosts.
func (q *Quarantine) threshold(hosts int) int {
	return max(2, min(q.settings.MinFailedHosts, hosts))
}

// Record records the outcome of a request on a host. It reports whether the
// outcome is a failure that counts against the host; one of work that failed on
// another host before does not.
func (q *Quarantine) Record(now time.Time, r rock.Request, host string, failed bool) bool {
	if !failed {
		if len(q.records) > 0 {
			delete(q.records, workIDOf(r))
		}
		return false
	}
	id := workIDOf(r)
	f := q.records[id]
	if f == nil || !now.Before(f.expiresAt) {
		q.add(id, &failureRecord{hosts: []string{host}, expiresAt: now.Add(q.settings.QuarantineTime)})
		return true
	}
	isFirstHost := f.hosts[0] == host
	if !slices.Contains(f.hosts, host) && len(f.hosts) < q.settings.MinFailedHosts {
		f.hosts = append(f.hosts, host)
		f.expiresAt, f.nextProbe = now.Add(q.settings.QuarantineTime), now.Add(probeInterval)
	}
	return isFirstHost && len(f.hosts) == 1
}

// add adds the record of failing work. It removes the oldest records beyond
// MaxEntries.
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
