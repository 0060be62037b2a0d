package wave

import (
	"fmt"

	"bramleyrock/core/record"
)

// maxClosedPerRound is the greatest number of hosts that one round closes in
// one zone. It bounds the number of writes of a round.
const maxClosedPerRound = 8

// closeHosts returns the steps that close further hosts, as many as the budgets,
// max_parallel and [maxClosedPerRound] allow. If no host can be closed, it
// returns one step with the reason.
func (p planner) closeHosts(pending []member) []Step {
	out := findOutages(p.Fleet, p.wave.Pools, p.View)
	away := 0
	for _, m := range members(p.Fleet, p.Cache, p.wave.Pools, "") {
		if m.closedBy(p.name) {
			away++
		}
	}
	order := p.Order
	if order == nil {
		order = ByRack
	}
	var steps []Step
	var reason string
	for _, c := range order(p.candidates(pending)) {
		m := c.member
		if len(steps) == maxClosedPerRound {
			break
		}
		if away+len(steps) >= p.wave.MaxParallel {
			reason = fmt.Sprintf("one of %d hosts away at once to come back", p.wave.MaxParallel)
			break
		}
		blocked := p.tryReserve(m, out)
		if blocked == "" {
			steps = append(steps, p.close(m))
			continue
		}
		reason = blocked
	}
	if len(steps) == 0 && reason != "" {
		steps = append(steps, Step{wave: p.name, since: p.wave.Since, waitsFor: fmt.Sprintf("zone %s: %s", p.Zone, reason)})
	}
	return steps
}

// tryReserve reserves headroom for closing the host and returns "", or returns
// why the host cannot be closed now.
func (p planner) tryReserve(m member, out outages) string {
	if !m.host.Open() {
		return fmt.Sprintf("host %s, which is closed for %s", m.host.Name(), reasonClosed(m.body))
	}
	if !p.Headroom.Available(m.host) {
		return fmt.Sprintf("host %s to be live in the platform's list", m.host.Name())
	}
	if reason := out.blockReason(m.host.Pool()); reason != "" {
		return reason
	}
	if err := p.Headroom.Reserve(m.host); err != nil {
		return err.Error()
	}
	return ""
}

// reasonClosed returns the key of what the host is closed for, or a text for a
// host that an operator closed.
func reasonClosed(h record.HostSpec) string {
	if h.ClosedBy == "" {
		return "a reason of an operator's"
	}
	return h.ClosedBy
}

// close returns the step that closes the host for the wave.
func (p planner) close(m member) Step {
	m.body.Open, m.body.ClosedBy = false, owner(p.name)
	m.body.Maintenance = &record.Maintenance{
		Wave:             p.name,
		Step:             record.StepDraining,
		Since:            p.Now.UTC(),
		LastOpenRevision: p.Fleet.Revision(),
	}
	return p.hostStep(m, string(record.StepDraining))
}

// candidates returns the pending hosts together with the counts of their racks.
func (p planner) candidates(pending []member) []Candidate {
	rackAway := map[string]int{}
	rackPending := map[string]int{}
	for _, m := range p.members {
		if m.closedBy(p.name) {
			rackAway[m.host.Rack()]++
		}
	}
	for _, m := range pending {
		rackPending[m.host.Rack()]++
	}
	all := make([]Candidate, 0, len(pending))
	for _, m := range pending {
		all = append(all, Candidate{member: m, rackAway: rackAway[m.host.Rack()], rackPending: rackPending[m.host.Rack()]})
	}
	return all
}
