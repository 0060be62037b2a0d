package place

import "time"

// group is the hosts of one pool in the zone.
type group struct {
	nodes []*node
	// ready holds the nodes that are free, in no order.
	ready []*node
	// held holds the nodes that are held back for a time.
	held []*node
	// slots counts the slots of open hosts.
	slots int
	// taken counts the tasks in flight on open hosts.
	taken int
	// turn counts the choices made in turn.
	turn int
}

// settle puts n into the free list or takes it out, as it should be.
func (g *group) settle(now time.Time, n *node) {
	free := n.free(now)
	switch {
	case free && n.position < 0:
		n.position = len(g.ready)
		g.ready = append(g.ready, n)
	case !free && n.position >= 0:
		last := g.ready[len(g.ready)-1]
		g.ready[n.position] = last
		last.position = n.position
		g.ready = g.ready[:len(g.ready)-1]
		n.position = -1
	}
}

// hold leaves n alone until a time.
func (g *group) hold(now, until time.Time, n *node) {
	if !now.Before(n.heldUntil) {
		g.held = append(g.held, n)
	}
	n.heldUntil = until
	g.settle(now, n)
}

// release puts back the nodes whose time has passed.
func (g *group) release(now time.Time) {
	kept := g.held[:0]
	for _, n := range g.held {
		if now.Before(n.heldUntil) {
			kept = append(kept, n)
			continue
		}
		g.settle(now, n)
	}
	g.held = kept
}
