package wave

import (
	"time"

	rock "bramleyrock"
)

// Step is the next step of one host of a wave, or of the wave itself: records
// to write, a restart to ask for, or the reason to wait.
type Step struct {
	wave     string
	host     string
	id       string
	why      string
	rebootID string
	records  []rock.Record
	waitsFor string
	since    time.Time
}

// Wave returns the name of the wave.
func (s Step) Wave() string { return s.wave }

// Host returns the name of the host, or "" for a step of the wave itself.
func (s Step) Host() string { return s.host }

// Pending reports whether there are records to write.
func (s Step) Pending() bool { return len(s.records) > 0 }

// RebootID returns the id under which the platform is to restart the host once
// the records are written, or "" if it is not.
func (s Step) RebootID() string { return s.rebootID }

// WaitsFor returns what the step waits for, or "".
func (s Step) WaitsFor() string { return s.waitsFor }

// Since returns when the present state of the host or wave was reached.
func (s Step) Since() time.Time { return s.since }

// Proposal returns the change that makes the step, guarded by the conditions
// of the duty's lease.
func (s Step) Proposal(who string, guard rock.Transaction) rock.Proposal {
	return rock.Proposal{ID: s.id, Who: who, Why: s.why, Records: s.records, Guard: guard}
}
