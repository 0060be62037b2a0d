package place

import (
	"math/rand/v2"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
)

// Placer chooses hosts of one availability zone. It implements [rock.Placer]
// and is not safe for concurrent use.
type Placer struct {
	settings Settings
	fleet    rock.Fleet
	nodes    map[string]*node
	groups   map[string]*group
	closed   []string
	memories map[string]memory
	leaving  map[string]bool
}

// New returns a placer that knows no host yet.
func New(s Settings) *Placer {
	if s.Policy == "" {
		s.Policy = TwoChoices
	}
	if s.RefusalBackoff <= 0 {
		s.RefusalBackoff = defaultHold
	}
	return &Placer{settings: s, nodes: map[string]*node{}, groups: map[string]*group{}, memories: map[string]memory{}}
}

// Revision returns the revision of the configuration in use.
func (p *Placer) Revision() rock.Revision {
	if p.fleet == nil {
		return 0
	}
	return p.fleet.Revision()
}

// Update puts a newer configuration in use; an older one is ignored. Tasks in
// flight stay counted, also on hosts that have left their pool.
func (p *Placer) Update(now time.Time, fleet rock.Fleet) {
	if p.fleet != nil && fleet.Revision() <= p.fleet.Revision() {
		return
	}
	p.fleet = fleet
	old := p.nodes
	p.nodes = make(map[string]*node, len(old))
	p.groups = map[string]*group{}
	p.closed = nil
	for _, r := range fleet.Records(rock.KindPool) {
		p.add(now, old, r.Key().Name())
	}
	for name, n := range old {
		if p.nodes[name] == nil && n.inFlight > 0 {
			n.host = rock.NewHost(rock.HostSpec{Name: name, Zone: p.settings.Zone})
			n.health = &eject.HostHealth{}
			n.position = -1
			p.nodes[name] = n
		}
	}
}

// add takes up the hosts of one pool.
func (p *Placer) add(now time.Time, old map[string]*node, pool string) {
	g := &group{memory: p.memory(pool)}
	p.groups[pool] = g
	for _, h := range p.fleet.PoolHosts(pool, p.settings.Zone) {
		n := &node{host: h, health: g.watch.Track(h.Name()), leaving: p.leaving[h.Name()], position: -1}
		if o := old[h.Name()]; o != nil {
			n.inFlight, n.most, n.heldUntil = o.inFlight, o.most, o.heldUntil
		}
		p.nodes[h.Name()] = n
		g.nodes = append(g.nodes, n)
		if !h.Open() {
			p.closed = append(p.closed, h.Name())
			continue
		}
		g.slots += h.Slots()
		g.taken += n.inFlight
		if until := n.releaseAt(now); !until.IsZero() {
			g.hold(n, until)
		}
		g.settle(now, n)
	}
	for _, name := range g.watch.Names() {
		if n := p.nodes[name]; n == nil || n.host.Pool() != pool {
			g.watch.Forget(name)
		}
	}
}

// SetLeaving tells the placer which hosts the platform lists as leaving. They
// get no new work until they are no longer listed so.
func (p *Placer) SetLeaving(now time.Time, names []string) {
	old := p.leaving
	p.leaving = make(map[string]bool, len(names))
	for _, name := range names {
		p.leaving[name] = true
		p.setLeaving(now, name, true)
	}
	for name := range old {
		if !p.leaving[name] {
			p.setLeaving(now, name, false)
		}
	}
}

// setLeaving marks one host.
func (p *Placer) setLeaving(now time.Time, name string, leaving bool) {
	n := p.nodes[name]
	if n == nil || n.leaving == leaving {
		return
	}
	n.leaving = leaving
	if g := p.groups[n.host.Pool()]; g != nil {
		g.settle(now, n)
	}
}

// memory returns what is kept of the pool over configurations.
func (p *Placer) memory(pool string) memory {
	m, ok := p.memories[pool]
	if !ok {
		m = memory{
			watch:  eject.NewDetector(p.settings.Eject),
			random: rand.New(rand.NewPCG(p.settings.Random.Uint64(), p.settings.Random.Uint64())),
		}
		p.memories[pool] = m
	}
	return m
}

// Choose implements [rock.Placer].
func (p *Placer) Choose(now time.Time, pool string, avoid []string) (rock.Host, error) {
	g := p.groups[pool]
	if g == nil {
		return rock.Host{}, rock.Fail("choose host", "pool "+pool, rock.NoHost, rock.NotRun).Becausef("the pool has no host in zone %s", p.settings.Zone)
	}
	g.release(now)
	n := p.pick(g, avoid)
	if n == nil {
		return rock.Host{}, rock.Fail("choose host", "pool "+pool, rock.NoHost, rock.NotRun).Becausef("none of %d hosts is free", len(g.nodes))
	}
	n.inFlight++
	g.taken++
	g.settle(now, n)
	return n.host, nil
}

// Done implements [rock.Placer]. An outcome that says nothing about the host,
// such as a cancelled request, is not held against it.
func (p *Placer) Done(now time.Time, host string, _ time.Duration, err error) {
	n := p.nodes[host]
	if n == nil || n.inFlight == 0 {
		return
	}
	n.inFlight--
	g := p.groups[n.host.Pool()]
	if g == nil {
		if n.inFlight == 0 && n.host.Pool() == "" {
			delete(p.nodes, host)
		}
		return
	}
	if n.host.Open() {
		g.taken--
	}
	p.learn(now, g, n, err)
	g.settle(now, n)
}

// learn learns from the outcome of a task on the node.
func (p *Placer) learn(now time.Time, g *group, n *node, err error) {
	if Refused(err) {
		p.holdBack(now, g, n, rock.ReasonOf(err))
		return
	}
	failed, known := hostFailed(err)
	if p.settings.DisableEjection || !known {
		return
	}
	if g.watch.Record(now, n.health, failed) {
		g.hold(n, n.health.EjectedUntil())
	}
}

// holdBack gives no more work to a node that refused some: none beyond what it
// holds if its slots are taken, and none at all if it is about to leave.
func (p *Placer) holdBack(now time.Time, g *group, n *node, reason rock.Reason) {
	n.most, n.heldUntil = n.inFlight, now.Add(p.settings.RefusalBackoff)
	if reason != rock.Overloaded {
		n.most, n.heldUntil = 0, now.Add(leavingHold)
	}
	g.hold(n, n.heldUntil)
}

// Ejected returns the names of the pool's hosts that are ejected at that time.
func (p *Placer) Ejected(now time.Time, pool string) []string {
	var names []string
	if g := p.groups[pool]; g != nil {
		for _, n := range g.nodes {
			if n.health.State(now) == eject.Ejected {
				names = append(names, n.host.Name())
			}
		}
	}
	return names
}

// InFlight returns the number of tasks in flight on the host.
func (p *Placer) InFlight(host string) int {
	if n := p.nodes[host]; n != nil {
		return n.inFlight
	}
	return 0
}

// InFlightOnClosed returns the tasks in flight on each host that takes no new work,
// zeros included.
func (p *Placer) InFlightOnClosed() map[string]int {
	counts := make(map[string]int, len(p.closed))
	for _, name := range p.closed {
		counts[name] = p.InFlight(name)
	}
	return counts
}

// Slots returns the slots of the pool's open hosts and how many of them are
// taken by tasks counted here.
func (p *Placer) Slots(pool string) (slots, taken int) {
	g := p.groups[pool]
	if g == nil {
		return 0, 0
	}
	return g.slots, g.taken
}

// HostCount returns the number of the pool's hosts in the zone.
func (p *Placer) HostCount(pool string) int {
	if g := p.groups[pool]; g != nil {
		return len(g.nodes)
	}
	return 0
}

// Pools returns the names of the pools that have hosts in the zone.
func (p *Placer) Pools() []string {
	var names []string
	for name, g := range p.groups {
		if len(g.nodes) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
