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
	settings    Settings
	fleet       rock.Fleet
	hosts       map[string]*hostState
	pools       map[string]*poolHosts
	closedHosts []string
	poolStates  map[string]poolState
	leaving     map[string]bool
}

// New returns a placer without hosts.
func New(s Settings) *Placer {
	if s.Policy == "" {
		s.Policy = TwoChoices
	}
	if s.RefusalBackoff <= 0 {
		s.RefusalBackoff = defaultRefusalBackoff
	}
	return &Placer{settings: s, hosts: map[string]*hostState{}, pools: map[string]*poolHosts{}, poolStates: map[string]poolState{}}
}

// Revision returns the revision of the configuration in use.
func (p *Placer) Revision() rock.Revision {
	if p.fleet == nil {
		return 0
	}
	return p.fleet.Revision()
}

// Update replaces the configuration if the given one is newer, and ignores it
// otherwise. Tasks in flight stay counted, also on hosts that have left their pool.
func (p *Placer) Update(now time.Time, fleet rock.Fleet) {
	if p.fleet != nil && fleet.Revision() <= p.fleet.Revision() {
		return
	}
	p.fleet = fleet
	old := p.hosts
	p.hosts = make(map[string]*hostState, len(old))
	p.pools = map[string]*poolHosts{}
	p.closedHosts = nil
	for _, r := range fleet.Records(rock.KindPool) {
		p.addPool(now, old, r.Key().Name())
	}
	for name, h := range old {
		if p.hosts[name] == nil && h.inFlight > 0 {
			h.host = rock.NewHost(rock.HostSpec{Name: name, Zone: p.settings.Zone})
			h.health = &eject.HostHealth{}
			h.freeIndex = -1
			p.hosts[name] = h
		}
	}
}

// addPool adds the hosts of one pool, with their state in old.
func (p *Placer) addPool(now time.Time, old map[string]*hostState, pool string) {
	ph := &poolHosts{poolState: p.poolState(pool)}
	p.pools[pool] = ph
	for _, listed := range p.fleet.PoolHosts(pool, p.settings.Zone) {
		h := &hostState{host: listed, health: ph.detector.Track(listed.Name()), leaving: p.leaving[listed.Name()], freeIndex: -1}
		if o := old[listed.Name()]; o != nil {
			h.inFlight, h.backoffLimit, h.backoffUntil = o.inFlight, o.backoffLimit, o.backoffUntil
		}
		p.hosts[listed.Name()] = h
		ph.hosts = append(ph.hosts, h)
		if !listed.Open() {
			p.closedHosts = append(p.closedHosts, listed.Name())
			continue
		}
		ph.slots += listed.Slots()
		ph.slotsInUse += h.inFlight
		if until := h.restrictedUntil(now); !until.IsZero() {
			ph.restrict(h, until)
		}
		ph.updateFree(now, h)
	}
	for _, name := range ph.detector.Names() {
		if h := p.hosts[name]; h == nil || h.host.Pool() != pool {
			ph.detector.Forget(name)
		}
	}
}

// SetLeaving sets the hosts that the platform lists as leaving. They get no new
// work until a later call omits them.
func (p *Placer) SetLeaving(now time.Time, names []string) {
	old := p.leaving
	p.leaving = make(map[string]bool, len(names))
	for _, name := range names {
		p.leaving[name] = true
		p.setHostLeaving(now, name, true)
	}
	for name := range old {
		if !p.leaving[name] {
			p.setHostLeaving(now, name, false)
		}
	}
}

// setHostLeaving sets whether one host is leaving.
func (p *Placer) setHostLeaving(now time.Time, name string, leaving bool) {
	h := p.hosts[name]
	if h == nil || h.leaving == leaving {
		return
	}
	h.leaving = leaving
	if ph := p.pools[h.host.Pool()]; ph != nil {
		ph.updateFree(now, h)
	}
}

// poolState returns the state of the pool that survives changes of the
// configuration.
func (p *Placer) poolState(pool string) poolState {
	state, ok := p.poolStates[pool]
	if !ok {
		state = poolState{
			detector: eject.NewDetector(p.settings.Eject),
			random:   rand.New(rand.NewPCG(p.settings.Random.Uint64(), p.settings.Random.Uint64())),
		}
		p.poolStates[pool] = state
	}
	return state
}

// Choose implements [rock.Placer].
func (p *Placer) Choose(now time.Time, pool string, avoid []string) (rock.Host, error) {
	ph := p.pools[pool]
	if ph == nil {
		return rock.Host{}, rock.Fail("choose host", "pool "+pool, rock.NoHost, rock.NotRun).Becausef("the pool has no host in zone %s", p.settings.Zone)
	}
	ph.liftRestrictions(now)
	h := p.selectHost(ph, avoid)
	if h == nil {
		return rock.Host{}, rock.Fail("choose host", "pool "+pool, rock.NoHost, rock.NotRun).Becausef("none of %d hosts is free", len(ph.hosts))
	}
	h.inFlight++
	ph.slotsInUse++
	ph.updateFree(now, h)
	return h.host, nil
}

// Done implements [rock.Placer]. An outcome that says nothing about the host, such
// as a cancelled request, does not count against it.
func (p *Placer) Done(now time.Time, host string, _ time.Duration, err error) {
	h := p.hosts[host]
	if h == nil || h.inFlight == 0 {
		return
	}
	h.inFlight--
	ph := p.pools[h.host.Pool()]
	if ph == nil {
		if h.inFlight == 0 && h.host.Pool() == "" {
			delete(p.hosts, host)
		}
		return
	}
	if h.host.Open() {
		ph.slotsInUse--
	}
	p.recordOutcome(now, ph, h, err)
	ph.updateFree(now, h)
}

// recordOutcome records the outcome of a task on the host, which may put the host
// in backoff or eject it.
func (p *Placer) recordOutcome(now time.Time, ph *poolHosts, h *hostState, err error) {
	if Refused(err) {
		p.backOff(now, ph, h, rock.ReasonOf(err))
		return
	}
	failed, known := hostFailed(err)
	if p.settings.DisableEjection || !known {
		return
	}
	if ph.detector.Record(now, h.health, failed) {
		ph.restrict(h, h.health.EjectedUntil())
	}
}

// backOff puts a host that refused a task in backoff. If its slots are in use, it
// gets no more tasks than it has; for other reasons, such as that it is about to
// leave, it gets none.
func (p *Placer) backOff(now time.Time, ph *poolHosts, h *hostState, reason rock.Reason) {
	h.backoffLimit, h.backoffUntil = h.inFlight, now.Add(p.settings.RefusalBackoff)
	if reason != rock.Overloaded {
		h.backoffLimit, h.backoffUntil = 0, now.Add(leavingBackoff)
	}
	ph.restrict(h, h.backoffUntil)
}

// Ejected returns the names of the pool's hosts that are ejected at that time.
func (p *Placer) Ejected(now time.Time, pool string) []string {
	var names []string
	if ph := p.pools[pool]; ph != nil {
		for _, h := range ph.hosts {
			if h.health.State(now) == eject.Ejected {
				names = append(names, h.host.Name())
			}
		}
	}
	return names
}

// InFlight returns the number of tasks in flight on the host.
func (p *Placer) InFlight(host string) int {
	if h := p.hosts[host]; h != nil {
		return h.inFlight
	}
	return 0
}

// InFlightOnClosed returns the number of tasks in flight on each closed host, zeros
// included.
func (p *Placer) InFlightOnClosed() map[string]int {
	counts := make(map[string]int, len(p.closedHosts))
	for _, name := range p.closedHosts {
		counts[name] = p.InFlight(name)
	}
	return counts
}

// Slots returns the number of slots of the pool's open hosts, and how many of them
// the tasks of this placer use.
func (p *Placer) Slots(pool string) (slots, slotsInUse int) {
	ph := p.pools[pool]
	if ph == nil {
		return 0, 0
	}
	return ph.slots, ph.slotsInUse
}

// HostCount returns the number of the pool's hosts in the zone.
func (p *Placer) HostCount(pool string) int {
	if ph := p.pools[pool]; ph != nil {
		return len(ph.hosts)
	}
	return 0
}

// Pools returns the names of the pools that have hosts in the zone.
func (p *Placer) Pools() []string {
	var names []string
	for name, ph := range p.pools {
		if len(ph.hosts) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
