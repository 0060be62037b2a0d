package maint

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"

	"github.com/fxamacker/cbor/v2"
)

// Claim is a host that is taken down, or about to be.
type Claim struct {
	// Worker is the worker on the host when it was claimed.
	Worker string `cbor:"1,keyasint,omitempty"`
	// Ordered is true once the platform has taken the order.
	Ordered bool `cbor:"2,keyasint,omitempty"`
}

// State is how far a wave has come. The zero value is a wave that has not
// begun.
type State struct {
	Claims map[string]Claim `cbor:"1,keyasint,omitempty"`
	Done   []string         `cbor:"2,keyasint,omitempty"`
}

// Decode returns the state in a row's value; no value is the zero state.
func Decode(value []byte) (State, error) {
	var s State
	if len(value) > 0 {
		if err := cbor.Unmarshal(value, &s); err != nil {
			return State{}, fmt.Errorf("decode state of a wave: %w", err)
		}
	}
	if s.Claims == nil {
		s.Claims = map[string]Claim{}
	}
	return s, nil
}

// Encode returns the value of the state's row.
func (s State) Encode() ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode state of a wave: %w", err)
	}
	return data, nil
}

// Finish notes that a host is up again, or gone for good.
func (s *State) Finish(host string) {
	delete(s.Claims, host)
	if !slices.Contains(s.Done, host) {
		s.Done = append(s.Done, host)
	}
}

// AllStarted reports whether the maintenance of all hosts of the wave has begun,
// which is when the operator may be told that the wave is completed.
func (s *State) AllStarted(w rock.MaintenanceWave) bool {
	for _, h := range w.Hosts {
		if !s.Claims[h].Ordered && !slices.Contains(s.Done, h) {
			return false
		}
	}
	return true
}

// Host is a host of the pool that belongs to the wave.
type Host struct {
	Name   string
	Worker string
	// Eligible is true if the host can be taken down.
	Eligible bool
	// Runs is the number of runs on it, Lasting how many of them last.
	Runs           int
	PersistentRuns int
}

const (
	// roundDuration is how long a host is claimed for: the longest tasks of the
	// sheets end within 3.3 s, the maintenance takes 2 s, and the lists lag.
	roundDuration = 6 * time.Second
	// urgencyMargin is left of a wave's time when it becomes urgent: an outage of the
	// table lasts for 4 to 6 s, and no host is ordered while it does.
	urgencyMargin = 7 * time.Second
	// maxClaimedShare is the share of a pool's hosts that may be claimed at once
	// while the pool is calm: the surge of the next pool needs the rest.
	maxClaimedShare = 0.34
)

// Pool is the state of the pool whose hosts are picked.
type Pool struct {
	// Hosts is the number of the pool's hosts.
	Hosts int
	// HasSpareCapacity is true if the pool has more room than work.
	HasSpareCapacity bool
	// Idle is true if nothing of the pool runs on the host, as on standby.
	Idle bool
}

// Urgent reports whether the wave has just enough time for what is left.
func Urgent(since time.Duration, w rock.MaintenanceWave, s State) bool {
	left := 0
	for _, h := range w.Hosts {
		if !slices.Contains(s.Done, h) {
			left++
		}
	}
	rounds := (left + max(1, w.MaxParallel) - 1) / max(1, w.MaxParallel)
	return since+time.Duration(rounds)*roundDuration+urgencyMargin >= w.TimeLimit
}

// SelectHosts returns the hosts to claim now. The wave was asked for that long ago.
func SelectHosts(since time.Duration, w rock.MaintenanceWave, s State, hosts []Host, p Pool) []string {
	room := w.MaxParallel - len(s.Claims)
	urgent := Urgent(since, w, s)
	if !p.HasSpareCapacity && !urgent && !p.Idle {
		return nil
	}
	mine := 0
	var free []Host
	for _, h := range hosts {
		if _, claimed := s.Claims[h.Name]; claimed {
			mine++
			continue
		}
		if h.Eligible && !slices.Contains(s.Done, h.Name) {
			free = append(free, h)
		}
	}
	if !urgent && !p.Idle {
		room = min(room, max(1, int(maxClaimedShare*float64(p.Hosts)))-mine)
	}
	slices.SortFunc(free, func(a, b Host) int {
		// PersistentRuns tasks move one by one, so their hosts need the most time.
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
	for _, h := range free[:max(0, min(room, len(free)))] {
		names = append(names, h.Name)
	}
	return names
}
