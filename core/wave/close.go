package wave

import (
	"fmt"

	"bramleyrock/core/record"
)

// maxClosedPerRound is the greatest number of hosts that one round takes in one zone. It
// bounds the writes of a round.
const maxClosedPerRound = 8

// closeHosts returns the steps that close further hosts, as many as the budgets and
// max_parallel allow, and the reason to wait if there are none.
func (s planner) closeHosts(pending []member) []Step {
	held := findOutages(s.Fleet, s.wave.Pools, s.View)
	away := 0
	for _, m := range members(s.Fleet, s.Cache, s.wave.Pools, "") {
		if m.closedBy(s.name) {
			away++
		}
	}
	choose := s.Order
	if choose == nil {
		choose = ByRack
	}
	var steps []Step
	var reason string
	for _, c := range choose(s.candidates(pending)) {
		m := c.member
		if len(steps) == maxClosedPerRound {
			break
		}
		if away+len(steps) >= s.wave.MaxParallel {
			reason = fmt.Sprintf("one of %d hosts away at once to come back", s.wave.MaxParallel)
			break
		}
		why := s.tryReserve(m, held)
		if why == "" {
			steps = append(steps, s.close(m))
			continue
		}
		reason = why
	}
	if len(steps) == 0 && reason != "" {
		steps = append(steps, Step{wave: s.name, since: s.wave.Since, waitsFor: fmt.Sprintf("zone %s: %s", s.Zone, reason)})
	}
	return steps
}

// tryReserve returns why the host cannot be taken now, or "". If it can, its room
// is reserved.
func (s planner) tryReserve(m member, held outages) string {
	if !m.host.Open() {
		return fmt.Sprintf("host %s, which is closed for %s", m.host.Name(), reasonClosed(m.body))
	}
	if !s.Headroom.Available(m.host) {
		return fmt.Sprintf("host %s to be live in the platform's list", m.host.Name())
	}
	if why := held.blockReason(m.host.Pool()); why != "" {
		return why
	}
	if err := s.Headroom.Reserve(m.host); err != nil {
		return err.Error()
	}
	return ""
}

func reasonClosed(h record.HostSpec) string {
	if h.ClosedBy == "" {
		return "a reason of an operator's"
	}
	return h.ClosedBy
}

// close closes a host for the wave.
func (s planner) close(m member) Step {
	m.body.Open, m.body.ClosedBy = false, owner(s.name)
	m.body.Maintenance = &record.Maintenance{
		Wave:             s.name,
		Step:             record.StepDraining,
		Since:            s.Now.UTC(),
		LastOpenRevision: s.Fleet.Revision(),
	}
	return s.hostStep(m, string(record.StepDraining))
}

// candidates returns the pending hosts with what an order looks at.
func (s planner) candidates(pending []member) []Candidate {
	rackAway := map[string]int{}
	rackLeft := map[string]int{}
	for _, m := range s.members {
		if m.closedBy(s.name) {
			rackAway[m.host.Rack()]++
		}
	}
	for _, m := range pending {
		rackLeft[m.host.Rack()]++
	}
	all := make([]Candidate, 0, len(pending))
	for _, m := range pending {
		all = append(all, Candidate{member: m, rackAway: rackAway[m.host.Rack()], rackLeft: rackLeft[m.host.Rack()]})
	}
	return all
}
