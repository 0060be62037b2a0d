package wave

import (
	"cmp"
	"slices"
	"strings"

	rock "bramleyrock"
)

// Candidate is a host that the wave has yet to maintain, with the state of its
// rack in the wave.
type Candidate struct {
	member
	rackAway    int
	rackPending int
}

// Host returns the host.
func (c Candidate) Host() rock.Host { return c.host }

// RackAway returns how many hosts of the same rack are closed for the wave.
func (c Candidate) RackAway() int { return c.rackAway }

// RackPending returns how many hosts of the same rack the wave has yet to
// maintain, including this one.
func (c Candidate) RackPending() int { return c.rackPending }

// Order returns the candidates in the order in which the wave should close them.
// It may leave some out and may reorder its argument in place.
type Order func(candidates []Candidate) []Candidate

// ByRack is the default [Order]. It finishes a rack before it begins another,
// so that hosts are away in as few racks as possible when a further rack fails.
// Of the racks not yet begun, the one with the most pending hosts is first,
// since it takes the longest.
func ByRack(candidates []Candidate) []Candidate {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.rackAway, a.rackAway),
			cmp.Compare(b.rackPending, a.rackPending),
			strings.Compare(a.host.Rack(), b.host.Rack()),
			strings.Compare(a.host.Name(), b.host.Name()),
		)
	})
	return candidates
}
