package wave

import (
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/drain"
	"bramleyrock/core/record"
)

// Plan is what the decisions of a wave in one zone are made of.
type Plan struct {
	// Now is the present time.
	Now time.Time
	// Fleet is the configuration in force.
	Fleet rock.Fleet
	// Zone is the availability zone whose hosts are handled.
	Zone string
	// View is what was last read of entries and hosts.
	View drain.View
	// Headroom is what the budgets leave.
	Room *budget.Headroom
	// Rebooted gives the time at which the platform confirmed to this holder
	// that it takes the restart with that id; nil means none.
	Rebooted func(id string) (time.Time, bool)
	// Cache keeps decoded hosts between rounds; nil means none.
	Cache *record.HostCache
	// Choose orders the hosts that may be taken next; nil means [ByDomain].
	Choose Order
}

// Steps returns the next steps of the wave in the record.
func (p Plan) Steps(r rock.Record) []Step {
	w, err := record.WaveSpecOf(r)
	if err != nil {
		return []Step{{wave: r.Key().Name(), since: p.Now, waitsFor: "a readable record: " + err.Error()}}
	}
	s := planner{Plan: p, record: r, wave: w, name: r.Key().Name()}
	s.members = members(p.Fleet, p.Cache, w.Pools, p.Zone)
	return s.steps()
}

// planner makes the steps of one wave.
type planner struct {
	Plan
	record  rock.Record
	wave    record.WaveSpec
	name    string
	members []member
}

func (s planner) steps() []Step {
	var steps []Step
	var pending []member
	for _, m := range s.members {
		switch {
		case m.closedBy(s.name):
			steps = append(steps, s.nextStep(m))
		case !m.doneBy(s.name):
			pending = append(pending, m)
		}
	}
	if s.wave.State != record.WaveRunning {
		return steps
	}
	if len(pending) > 0 {
		return append(steps, s.closeHosts(pending)...)
	}
	if len(steps) == 0 {
		return s.finish()
	}
	return steps
}

// nextStep returns the next step of a host that the wave holds closed.
func (s planner) nextStep(m member) Step {
	if m.body.Maintenance == nil || m.body.Maintenance.Wave != s.name {
		return s.reopen(m)
	}
	if m.body.Maintenance.Step == record.StepRebooting {
		return s.awaitReboot(m)
	}
	if s.wave.State == record.WaveAborted || s.Room.BelowBudget(m.host.Pool()) && s.wave.State != record.WaveDone {
		return s.reopen(m)
	}
	wait, ok := s.View.Drained(drain.Query{
		Host:         m.host.Name(),
		Zone:         m.host.Zone(),
		OpenRevision: m.body.Maintenance.LastOpenRevision,
		ClosedAt:     m.body.Maintenance.Since,
		CountedOut:   s.wave.CountedOut,
	})
	if !ok {
		return s.wait(m, "%s", wait)
	}
	if s.wave.Action == record.DrainAction {
		return s.completeHost(m)
	}
	return s.reboot(m)
}

// reboot records that the platform is to restart the host.
func (s planner) reboot(m member) Step {
	status, ok := s.View.Host(m.host.Name())
	if !ok || status.State() == rock.HostGone {
		return s.wait(m, "host %s to be live in the platform's list", m.host.Name())
	}
	next := *m.body.Maintenance
	next.Step, next.Since, next.Boots = record.StepRebooting, s.Now.UTC(), status.Boots()
	m.body.Maintenance = &next
	step := s.hostStep(m, string(record.StepRebooting))
	step.rebootID = s.rebootID(m)
	return step
}

// clockSkew is by how much the clocks of an entry and of the platform may
// differ.
const clockSkew = 2 * time.Second

// awaitReboot asks for the restart and returns the host once it is back. Boots alone
// prove nothing, since the host may have restarted by itself: the platform must
// have confirmed the id first, so that a late call of an earlier holder has no
// effect.
func (s planner) awaitReboot(m member) Step {
	step := s.wait(m, "the platform to restart host %s", m.host.Name())
	confirmed, ok := s.rebooted(m)
	if !ok {
		step.rebootID = s.rebootID(m)
		return step
	}
	status, ok := s.View.Host(m.host.Name())
	if !ok || !status.AsOf().After(confirmed.Add(clockSkew)) {
		return step
	}
	if status.State() == rock.HostLive && status.Boots() > m.body.Maintenance.Boots {
		return s.completeHost(m)
	}
	return step
}

func (s planner) rebootID(m member) string {
	return fmt.Sprintf("wave.%s.%s.%d", s.name, m.host.Name(), m.body.Maintenance.Boots)
}

func (s planner) rebooted(m member) (time.Time, bool) {
	if s.Rebooted == nil {
		return time.Time{}, false
	}
	return s.Rebooted(s.rebootID(m))
}

// completeHost opens a host that was maintained.
func (s planner) completeHost(m member) Step {
	next := *m.body.Maintenance
	next.Step, next.Since = record.StepDone, s.Now.UTC()
	m.body.Maintenance = &next
	m.body.Open, m.body.ClosedBy = true, ""
	return s.hostStep(m, string(record.StepDone))
}

// reopen gives a host back that was not maintained.
func (s planner) reopen(m member) Step {
	m.body.Maintenance = nil
	m.body.Open, m.body.ClosedBy = true, ""
	return s.hostStep(m, "given back")
}

// finish ends the wave if no host of any zone is left.
func (s planner) finish() []Step {
	p, err := ProgressOf(s.Fleet, s.Cache, s.record)
	if err != nil || p.Done() < p.Hosts() {
		return nil
	}
	s.wave.State, s.wave.Since, s.wave.WaitsFor = record.WaveDone, s.Now.UTC(), ""
	r, err := record.Rewrite(s.record, s.wave)
	if err != nil {
		return nil
	}
	return []Step{{
		wave:    s.name,
		id:      fmt.Sprintf("wave.%s.%d.done", s.name, s.record.Version()),
		why:     fmt.Sprintf("wave %s: all %d hosts done", s.name, p.Hosts()),
		records: []rock.Record{r},
		since:   s.wave.Since,
	}}
}

func (s planner) wait(m member, format string, args ...any) Step {
	return Step{wave: s.name, host: m.host.Name(), since: m.body.Maintenance.Since, waitsFor: fmt.Sprintf(format, args...)}
}

// hostStep returns the step that writes the host's record.
func (s planner) hostStep(m member, what string) Step {
	r, err := record.Rewrite(m.record, m.body)
	if err != nil {
		return Step{wave: s.name, host: m.host.Name(), since: s.Now, waitsFor: "a readable record: " + err.Error()}
	}
	return Step{
		wave:    s.name,
		host:    m.host.Name(),
		id:      fmt.Sprintf("wave.%s.%s.%d", s.name, m.host.Name(), m.record.Version()),
		why:     fmt.Sprintf("wave %s: host %s %s", s.name, m.host.Name(), what),
		records: []rock.Record{r},
		since:   s.Now.UTC(),
	}
}
