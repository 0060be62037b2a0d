package link

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/peers"
)

// PeerStatus is one line on a peer for operators.
type PeerStatus struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"`
	Address     string        `json:"address"`
	Incarnation string        `json:"incarnation"`
	State       peers.State   `json:"state"`
	Linked      bool          `json:"linked"`
	Revision    rock.Revision `json:"revision"`
	HeardAt     time.Time     `json:"heard_at,omitzero"`
	RoundTripUS int64         `json:"round_trip_us"`
}

func statusOf(s peers.Info, state peers.State, linked bool) PeerStatus {
	m := s.Member()
	return PeerStatus{
		Name:        m.Name(),
		Zone:        m.Zone(),
		Address:     m.Address(),
		Incarnation: m.Incarnation(),
		State:       state,
		Linked:      linked,
		Revision:    s.Heartbeat().Revision(),
		HeardAt:     s.HeardAt(),
		RoundTripUS: s.RoundTrip().Microseconds(),
	}
}
