package wave

import (
	"time"

	rock "bramleyrock"
)

// Step is the next step of one host of a wave, or of the wave itself. It has
// records to write, a reboot to request, or a reason to wait.
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

// RebootID returns the id of the reboot to request from the platform once the
// records are written, or "" if the step needs no reboot.
func (s Step) RebootID() string { return s.rebootID }

// WaitsFor returns what the step waits for, or "" if it does not wait.
func (s Step) WaitsFor() string { return s.waitsFor }

// Since returns when the host or wave entered its current state.
func (s Step) Since() time.Time { return s.since }

// Proposal returns the change that writes the step's records in the name of
// who. It is committed only if the conditions of guard hold, which are those of
// the duty's lease.
func (s Step) Proposal(who string, guard rock.Transaction) rock.Proposal {
	return rock.Proposal{ID: s.id, Who: who, Why: s.why, Records: s.records, Guard: guard}
}
