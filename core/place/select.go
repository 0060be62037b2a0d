package place

import "slices"

// selectHost returns a free host that is not in avoid, chosen by the policy, or nil
// if there is none.
func (p *Placer) selectHost(ph *poolHosts, avoid []string) *hostState {
	if len(ph.free) == 0 {
		return nil
	}
	switch p.settings.Policy {
	case RoundRobin:
		ph.roundRobin++
		return firstAllowed(ph.free, ph.roundRobin%len(ph.free), avoid)
	case LeastInFlight:
		return leastLoaded(ph.free, avoid)
	case Random:
		return firstAllowed(ph.free, ph.random.IntN(len(ph.free)), avoid)
	}
	first := firstAllowed(ph.free, ph.random.IntN(len(ph.free)), avoid)
	second := firstAllowed(ph.free, ph.random.IntN(len(ph.free)), avoid)
	if first != nil && second.load() < first.load() {
		return second
	}
	return first
}

// firstAllowed returns the first host at or after index start that is not in avoid,
// or nil if there is none. It examines at most len(avoid)+1 hosts.
func firstAllowed(free []*hostState, start int, avoid []string) *hostState {
	for i := range free {
		h := free[(start+i)%len(free)]
		if !slices.Contains(avoid, h.host.Name()) {
			return h
		}
	}
	return nil
}

// leastLoaded returns the host with the lowest load that is not in avoid, or nil if
// there is none.
func leastLoaded(free []*hostState, avoid []string) *hostState {
	var best *hostState
	for _, h := range free {
		if slices.Contains(avoid, h.host.Name()) {
			continue
		}
		if best == nil || h.load() < best.load() {
			best = h
		}
	}
	return best
}
