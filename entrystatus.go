package rock

import (
	"encoding/json"
	"time"
)

// EntryState is the lifecycle state of an entry.
type EntryState string

// The states of an entry.
const (
	// EntryRunning means that the entry accepts calls.
	EntryRunning EntryState = "running"
	// EntryLeaving means that the entry is shutting down.
	EntryLeaving EntryState = "leaving"
	// EntryGone means that the entry has stopped.
	EntryGone EntryState = "gone"
)

// EntryStatus is the status row of an entry: its identity, the configuration it
// has in force, and its number of tasks in flight on each host that is draining.
type EntryStatus struct {
	member   Member
	state    EntryState
	revision Revision
	at       time.Time
	inFlight map[string]int
}

// NewEntryStatus returns a status as of the time at. InFlight maps each host on
// which the entry starts no new tasks to the entry's number of tasks in flight
// there, which may be 0.
func NewEntryStatus(m Member, state EntryState, revision Revision, at time.Time, inFlight map[string]int) EntryStatus {
	return EntryStatus{member: m, state: state, revision: revision, at: at, inFlight: inFlight}
}

// Member returns the entry's identity.
func (s EntryStatus) Member() Member { return s.member }

// State returns the entry's lifecycle state.
func (s EntryStatus) State() EntryState { return s.state }

// Revision returns the revision in force at the entry.
func (s EntryStatus) Revision() Revision { return s.revision }

// At returns the time at which the status was true.
func (s EntryStatus) At() time.Time { return s.at }

// InFlight returns the entry's number of tasks in flight on the host. It returns
// false if the status does not tell that the entry has stopped starting tasks
// there.
func (s EntryStatus) InFlight(host string) (int, bool) {
	n, ok := s.inFlight[host]
	return n, ok
}

// entryStatusJSON is the JSON form of an EntryStatus.
type entryStatusJSON struct {
	Name        string         `json:"name"`
	Zone        string         `json:"zone"`
	Address     string         `json:"address"`
	Incarnation string         `json:"incarnation"`
	State       EntryState     `json:"state"`
	Revision    Revision       `json:"revision"`
	At          time.Time      `json:"at"`
	InFlight    map[string]int `json:"in_flight,omitempty"`
}

// MarshalJSON implements [json.Marshaler].
func (s EntryStatus) MarshalJSON() ([]byte, error) {
	m := s.member
	return json.Marshal(entryStatusJSON{m.name, m.zone, m.address, m.incarnation, s.state, s.revision, s.at, s.inFlight})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (s *EntryStatus) UnmarshalJSON(data []byte) error {
	var f entryStatusJSON
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	*s = NewEntryStatus(NewMember(f.Name, f.Zone, f.Address, f.Incarnation), f.State, f.Revision, f.At, f.InFlight)
	return nil
}
