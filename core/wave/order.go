package wave

import (
	"cmp"
	"slices"
	"strings"

	rock "bramleyrock"
)

// Candidate is a host that a wave may take next.
type Candidate struct {
	member
	rackAway int
	rackLeft int
}

// Host returns the host.
func (c Candidate) Host() rock.Host { return c.host }

// RackAway returns how many hosts of the host's rack the wave holds closed.
func (c Candidate) RackAway() int { return c.rackAway }

// RackPending returns how many hosts of the host's rack are still to be taken.
func (c Candidate) RackPending() int { return c.rackLeft }

// Order returns the candidates in the order in which they should be taken. It
// may leave some out.
type Order func(candidates []Candidate) []Candidate

// ByRack is the usual order. It finishes a rack that was begun before it
// begins another, so that the failure of another rack meets as few racks with
// hosts away as possible, and among the others it begins with the rack that has
// the most hosts left, which takes the longest.
func ByRack(candidates []Candidate) []Candidate {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.rackAway, a.rackAway),
			cmp.Compare(b.rackLeft, a.rackLeft),
			strings.Compare(a.host.Rack(), b.host.Rack()),
			strings.Compare(a.host.Name(), b.host.Name()),
		)
	})
	return candidates
}
