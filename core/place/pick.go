package place

import "slices"

// pick returns a node of the free list that is not avoided, or nil.
func (p *Placer) pick(g *group, avoid []string) *node {
	if len(g.ready) == 0 {
		return nil
	}
	switch p.settings.Policy {
	case RoundRobin:
		g.turn++
		return scan(g.ready, g.turn%len(g.ready), avoid)
	case LeastInFlight:
		return least(g.ready, avoid)
	case Random:
		return scan(g.ready, g.random.IntN(len(g.ready)), avoid)
	}
	first := scan(g.ready, g.random.IntN(len(g.ready)), avoid)
	second := scan(g.ready, g.random.IntN(len(g.ready)), avoid)
	if first != nil && second.load() < first.load() {
		return second
	}
	return first
}

// scan returns the first node at or after start that is not avoided, or nil.
// It looks at no more than one node beyond the length of avoid.
func scan(ready []*node, start int, avoid []string) *node {
	for i := range ready {
		n := ready[(start+i)%len(ready)]
		if !slices.Contains(avoid, n.host.Name()) {
			return n
		}
	}
	return nil
}

// least returns the least loaded node that is not avoided, or nil.
func least(ready []*node, avoid []string) *node {
	var best *node
	for _, n := range ready {
		if slices.Contains(avoid, n.host.Name()) {
			continue
		}
		if best == nil || n.load() < best.load() {
			best = n
		}
	}
	return best
}
