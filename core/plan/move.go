package plan

import (
	"fmt"
	"time"
)

// Move is a proposal to move a host.
type Move struct {
	host      string
	from      string
	to        string
	gain      float64
	gainSince time.Time // the move has been worth its cost since then
}

// Host returns the name of the host.
func (m Move) Host() string { return m.host }

// From returns the pool that the host leaves.
func (m Move) From() string { return m.from }

// To returns the pool that the host joins.
func (m Move) To() string { return m.to }

// Gain returns by how much the benefit of the move exceeds its cost, in slots of
// mean shortfall.
func (m Move) Gain() float64 { return m.gain }

// Why returns the reason for the move as a sentence.
func (m Move) Why() string {
	return fmt.Sprintf("pool %s needs a host more than pool %s since %s, by %.2f slots on average",
		m.to, m.from, m.gainSince.UTC().Format(time.RFC3339), m.gain)
}
