package maint

import (
	"fmt"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"

	"github.com/fxamacker/cbor/v2"
)

// Claim marks a host that is down for the wave or about to be taken down.
type Claim struct {
	// Worker is the id of the worker that was on the host when it was claimed.
	Worker string `cbor:"1,keyasint,omitempty"`
	// Ordered is true once the platform has accepted the maintenance order.
	Ordered bool `cbor:"2,keyasint,omitempty"`
}

// State is the progress of a wave. The zero value is a wave that has not begun.
type State struct {
	// Claims holds the claimed hosts by name.
	Claims map[string]Claim `cbor:"1,keyasint,omitempty"`
	// Done lists the hosts whose maintenance is over.
	Done []string `cbor:"2,keyasint,omitempty"`
}

// Decode returns the state that is stored in a row's value. For an empty value
// it returns a state that has not begun. Claims is never nil.
func Decode(value []byte) (State, error) {
	var s State
	if len(value) > 0 {
		if err := cbor.Unmarshal(value, &s); err != nil {
			return State{}, fmt.Errorf("decode maintenance wave state: %w", err)
		}
	}
	if s.Claims == nil {
		s.Claims = map[string]Claim{}
	}
	return s, nil
}

// Encode returns the value to store in the state's row.
func (s State) Encode() ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode maintenance wave state: %w", err)
	}
	return data, nil
}

// Clone returns a copy that shares nothing with s.
func (s State) Clone() State {
	return State{Claims: maps.Clone(s.Claims), Done: slices.Clone(s.Done)}
}

// DoneHosts returns the hosts whose maintenance is over.
func (s *State) DoneHosts() map[string]bool {
	done := make(map[string]bool, len(s.Done))
	for _, h := range s.Done {
		done[h] = true
	}
	return done
}

// Finish marks hosts as done, because they are up again or have left the platform
// for good, and removes their claims.
func (s *State) Finish(hosts ...string) {
	if len(hosts) == 0 {
		return
	}
	done := s.DoneHosts()
	for _, h := range hosts {
		delete(s.Claims, h)
		if !done[h] {
			s.Done = append(s.Done, h)
			done[h] = true
		}
	}
}

// AllStarted reports whether every host of the wave is done or its maintenance is
// ordered. The operator may then be told that the wave is completed.
func (s *State) AllStarted(w rock.MaintenanceWave) bool {
	done := s.DoneHosts()
	for _, h := range w.Hosts {
		if !s.Claims[h].Ordered && !done[h] {
			return false
		}
	}
	return true
}

// Host is a host of the pool that belongs to the wave.
type Host struct {
	// Name is the name of the host.
	Name string
	// Worker is the id of the worker on the host, or "" if there is none.
	Worker string
	// Eligible is true if the host is up and may be taken down.
	Eligible bool
	// Runs is the number of runs on the host.
	Runs int
	// PersistentRuns is the number of those runs that are of persistent tasks.
	PersistentRuns int
}

const (
	// roundDuration is the expected time for which a host is claimed. The longest
	// expected tasks end within 3.3 s, the maintenance takes 2 s, and the platform's
	// lists lag.
	roundDuration = 6 * time.Second
	// urgencyMargin is the slack that a wave has left when it becomes urgent. An
	// outage of the table lasts 4 to 6 s, and no maintenance can be ordered
	// during it.
	urgencyMargin = 7 * time.Second
	// maxClaimedShare is the greatest share of a pool's hosts that may be claimed
	// at once while the wave is not urgent. The rest are needed for a surge in
	// another pool.
	maxClaimedShare = 0.34
)

// Pool describes the pool whose hosts are selected.
type Pool struct {
	// Hosts is the number of the pool's hosts.
	Hosts int
	// HasSpareCapacity is true if little work is left for each of the pool's cores.
	HasSpareCapacity bool
	// Idle is true if none of the pool's hosts has a worker, as on standby.
	Idle bool
}

// Urgent reports whether the time that is left of the wave's limit is just enough
// for the hosts that are not done, MaxParallel at a time. The wave was requested
// the duration since ago.
func Urgent(since time.Duration, w rock.MaintenanceWave, s State) bool {
	left := 0
	done := s.DoneHosts()
	for _, h := range w.Hosts {
		if !done[h] {
			left++
		}
	}
	rounds := (left + max(1, w.MaxParallel) - 1) / max(1, w.MaxParallel)
	return since+time.Duration(rounds)*roundDuration+urgencyMargin >= w.TimeLimit
}

// SelectHosts returns the names of the hosts to claim now. The wave was requested
// the duration since ago. No hosts are claimed in a pool that neither is idle nor
// has spare capacity, unless the wave is urgent.
func SelectHosts(since time.Duration, w rock.MaintenanceWave, s State, hosts []Host, p Pool) []string {
	limit := w.MaxParallel - len(s.Claims)
	urgent := Urgent(since, w, s)
	if !p.HasSpareCapacity && !urgent && !p.Idle {
		return nil
	}
	claimedHere := 0
	done := s.DoneHosts()
	var eligible []Host
	for _, h := range hosts {
		if _, claimed := s.Claims[h.Name]; claimed {
			claimedHere++
			continue
		}
		if h.Eligible && !done[h.Name] {
			eligible = append(eligible, h)
		}
	}
	if !urgent && !p.Idle {
		limit = min(limit, max(1, int(maxClaimedShare*float64(p.Hosts)))-claimedHere)
	}
	slices.SortFunc(eligible, func(a, b Host) int {
		// Persistent tasks are moved one at a time, so that their hosts take
		// the longest to drain.
		if n := b.PersistentRuns - a.PersistentRuns; n != 0 {
			return n
		}
		if n := a.Runs - b.Runs; n != 0 {
			return n
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	var names []string
	for _, h := range eligible[:max(0, min(limit, len(eligible)))] {
		names = append(names, h.Name)
	}
	return names
}
