package wave

import (
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/drain"
	"bramleyrock/core/record"
)

// Plan holds the inputs from which the next steps of a wave in one zone are
// computed.
type Plan struct {
	// Now is the current time.
	Now time.Time
	// Fleet is the configuration in force.
	Fleet rock.Fleet
	// Zone is the availability zone whose hosts the steps are for.
	Zone string
	// View is the last known state of the entries and of the platform's hosts.
	View drain.View
	// Headroom is the headroom that the availability budgets leave.
	Headroom *budget.Headroom
	// RebootConfirmedAt returns when the platform confirmed to this holder of the wave's
	// duty that it accepted the reboot with the given id, and false if it has
	// not. A nil function means that no reboot is confirmed.
	RebootConfirmedAt func(id string) (time.Time, bool)
	// Cache holds the decoded host records of earlier rounds; nil disables it.
	Cache *record.HostCache
	// Order decides which hosts are closed next; nil means [ByRack].
	Order Order
}

// Steps returns the next steps of the wave that the record describes. If the
// record cannot be decoded, it returns one step that says so in
// [Step.WaitsFor].
func (p Plan) Steps(r rock.Record) []Step {
	w, err := record.WaveSpecOf(r)
	if err != nil {
		return []Step{{wave: r.Key().Name(), since: p.Now, waitsFor: "a readable record: " + err.Error()}}
	}
	pl := planner{Plan: p, record: r, wave: w, name: r.Key().Name()}
	pl.members = members(p.Fleet, p.Cache, w.Pools, p.Zone)
	return pl.steps()
}

// planner computes the steps of one wave in the zone of the plan.
type planner struct {
	Plan
	record  rock.Record
	wave    record.WaveSpec
	name    string
	members []member // the hosts of the wave's pools in the zone
}

// steps returns the next step of each host that is closed for the wave, then
// the steps that close further hosts. If nothing is left to do in this zone, it
// returns the step that ends the wave, if any.
func (p planner) steps() []Step {
	var steps []Step
	var pending []member
	for _, m := range p.members {
		switch {
		case m.closedBy(p.name):
			steps = append(steps, p.nextStep(m))
		case !m.doneBy(p.name):
			pending = append(pending, m)
		}
	}
	if p.wave.State != record.WaveRunning {
		return steps
	}
	if len(pending) > 0 {
		return append(steps, p.closeHosts(pending)...)
	}
	if len(steps) == 0 {
		return p.finish()
	}
	return steps
}

// nextStep returns the next step of a host that is closed for the wave.
func (p planner) nextStep(m member) Step {
	if m.body.Maintenance == nil || m.body.Maintenance.Wave != p.name {
		return p.reopen(m)
	}
	if m.body.Maintenance.Step == record.StepRebooting {
		return p.awaitReboot(m)
	}
	if p.wave.State == record.WaveAborted || p.Headroom.BelowBudget(m.host.Pool()) && p.wave.State != record.WaveDone {
		return p.reopen(m)
	}
	missing, ok := p.View.Drained(drain.Query{
		Host:         m.host.Name(),
		Zone:         m.host.Zone(),
		OpenRevision: m.body.Maintenance.LastOpenRevision,
		ClosedAt:     m.body.Maintenance.Since,
		CountedOut:   p.wave.CountedOut,
	})
	if !ok {
		return p.wait(m, "%s", missing)
	}
	if p.wave.Action == record.DrainAction {
		return p.completeHost(m)
	}
	return p.reboot(m)
}

// reboot returns the step that marks the host as rebooting and has the platform
// reboot it.
func (p planner) reboot(m member) Step {
	status, ok := p.View.Host(m.host.Name())
	if !ok || status.State() == rock.HostGone {
		return p.wait(m, "host %s to be live in the platform's list", m.host.Name())
	}
	next := *m.body.Maintenance
	next.Step, next.Since, next.Boots = record.StepRebooting, p.Now.UTC(), status.Boots()
	m.body.Maintenance = &next
	step := p.hostStep(m, string(record.StepRebooting))
	step.rebootID = p.rebootID(m)
	return step
}

// clockSkew is the greatest allowed difference between the clocks of an entry
// and of the platform.
const clockSkew = 2 * time.Second

// awaitReboot requests the reboot until the platform confirms it, and opens the
// host once it is live again with a higher boot count. The boot count alone does
// not prove that the requested reboot is over, since the host may have rebooted
// by itself. The platform must have confirmed the id first: after that, a
// delayed request of an earlier holder with the same id has no effect.
func (p planner) awaitReboot(m member) Step {
	step := p.wait(m, "the platform to restart host %s", m.host.Name())
	confirmed, ok := p.rebooted(m)
	if !ok {
		step.rebootID = p.rebootID(m)
		return step
	}
	status, ok := p.View.Host(m.host.Name())
	if !ok || !status.AsOf().After(confirmed.Add(clockSkew)) {
		return step
	}
	if status.State() == rock.HostLive && status.Boots() > m.body.Maintenance.Boots {
		return p.completeHost(m)
	}
	return step
}

// rebootID returns the id of the host's reboot, which is the same for every
// holder of the wave's duty.
func (p planner) rebootID(m member) string {
	return fmt.Sprintf("wave.%s.%s.%d", p.name, m.host.Name(), m.body.Maintenance.Boots)
}

// rebooted returns when the platform confirmed the host's reboot.
func (p planner) rebooted(m member) (time.Time, bool) {
	if p.RebootConfirmedAt == nil {
		return time.Time{}, false
	}
	return p.RebootConfirmedAt(p.rebootID(m))
}

// completeHost returns the step that opens a host whose maintenance is done.
func (p planner) completeHost(m member) Step {
	next := *m.body.Maintenance
	next.Step, next.Since = record.StepDone, p.Now.UTC()
	m.body.Maintenance = &next
	m.body.Open, m.body.ClosedBy = true, ""
	return p.hostStep(m, string(record.StepDone))
}

// reopen returns the step that opens a host without maintaining it.
func (p planner) reopen(m member) Step {
	m.body.Maintenance = nil
	m.body.Open, m.body.ClosedBy = true, ""
	return p.hostStep(m, "given back")
}

// finish returns the step that ends the wave, or nil while any host of any zone
// is not done.
func (p planner) finish() []Step {
	progress, err := ProgressOf(p.Fleet, p.Cache, p.record)
	if err != nil || progress.Done() < progress.Hosts() {
		return nil
	}
	p.wave.State, p.wave.Since, p.wave.WaitsFor = record.WaveDone, p.Now.UTC(), ""
	r, err := record.Rewrite(p.record, p.wave)
	if err != nil {
		return nil
	}
	return []Step{{
		wave:    p.name,
		id:      fmt.Sprintf("wave.%s.%d.done", p.name, p.record.Version()),
		why:     fmt.Sprintf("wave %s: all %d hosts done", p.name, progress.Hosts()),
		records: []rock.Record{r},
		since:   p.wave.Since,
	}}
}

// wait returns a step that only waits, for what the format describes.
func (p planner) wait(m member, format string, args ...any) Step {
	return Step{wave: p.name, host: m.host.Name(), since: m.body.Maintenance.Since, waitsFor: fmt.Sprintf(format, args...)}
}

// hostStep returns the step that writes the host's record. The event completes
// the reason of the change in the audit trail.
func (p planner) hostStep(m member, event string) Step {
	r, err := record.Rewrite(m.record, m.body)
	if err != nil {
		return Step{wave: p.name, host: m.host.Name(), since: p.Now, waitsFor: "a readable record: " + err.Error()}
	}
	return Step{
		wave:    p.name,
		host:    m.host.Name(),
		id:      fmt.Sprintf("wave.%s.%s.%d", p.name, m.host.Name(), m.record.Version()),
		why:     fmt.Sprintf("wave %s: host %s %s", p.name, m.host.Name(), event),
		records: []rock.Record{r},
		since:   p.Now.UTC(),
	}
}
