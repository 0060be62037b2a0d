package place

import (
	"time"
)

// group is the hosts of one pool in the zone.
type group struct {
	memory
	nodes []*node
	// ready holds the nodes that are free, in no order.
	ready []*node
	// held holds the nodes that are held back for a time; nextRelease is the
	// least of their times.
	held        []*node
	nextRelease time.Time
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

// hold looks at n again at a time.
func (g *group) hold(n *node, until time.Time) {
	if len(g.held) == 0 || until.Before(g.nextRelease) {
		g.nextRelease = until
	}
	g.held = append(g.held, n)
}

// release settles the held nodes whose time has passed.
func (g *group) release(now time.Time) {
	if len(g.held) == 0 || now.Before(g.nextRelease) {
		return
	}
	held := g.held
	g.held = nil
	for _, n := range held {
		if until := n.releaseAt(now); !until.IsZero() {
			g.hold(n, until)
			continue
		}
		g.settle(now, n)
	}
}
