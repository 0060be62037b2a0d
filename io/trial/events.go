package trial

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/core/trace"
	"bramleyrock/io/client"
)

// allChanges selects the whole audit trail of a trial.
var allChanges = client.Filter{Limit: 10_000, Since: time.Time{}.UTC().Format(time.RFC3339)}

// targetEvents returns what the targets started and ended.
func (t *site) targetEvents() []trace.Event {
	var all []trace.Event
	for host, w := range t.workers {
		for _, run := range w.Runs() {
			e := trace.Event{
				At: run.Start, Kind: trace.Started, Host: host, Pool: run.Pool,
				TaskID: run.TaskID, Generation: run.Generation, RequestID: run.Key,
			}
			all = append(all, e)
			if !run.End.IsZero() {
				e.At, e.Kind, e.State, e.Digest = run.End, trace.Ended, string(run.State), answerDigest(arrivalOf(run.Key))
				all = append(all, e)
			}
		}
	}
	return all
}

// changeEvents returns the events that the audit trail tells of.
func changeEvents(changes []rock.Change) []trace.Event {
	var all []trace.Event
	for _, c := range changes {
		all = append(all, trace.Event{At: c.At(), Kind: trace.ChangeAccepted, Revision: c.Revision(), ChangeID: c.ID()})
		for _, e := range c.Edits() {
			all = append(all, editEvents(c, e)...)
		}
	}
	return all
}

// editEvents returns the events of the change of one record.
func editEvents(c rock.Change, e rock.Edit) []trace.Event {
	if e.To() == nil {
		return nil
	}
	body, err := record.Decode(*e.To())
	if err != nil {
		return nil
	}
	event := trace.Event{At: c.At(), Revision: c.Revision()}
	switch b := body.(type) {
	case record.Host:
		return hostEvents(event, e, b.ToHost(e.Key().Name()))
	case record.Move:
		event.Kind, event.Move, event.Host, event.To, event.State = trace.MoveState, e.Key().Name(), b.Spec().Host, b.Spec().To, string(b.Spec().State)
	case record.Wave:
		event.Kind, event.Wave, event.State = trace.WaveState, e.Key().Name(), string(b.Spec().State)
	case record.Budget:
		least, _ := b.MinAvailable().Count()
		event.Kind, event.Pool, event.MinAvailable = trace.BudgetSet, b.Pool(), least
	default:
		return nil
	}
	return []trace.Event{event}
}

// hostEvents returns the event of the change of a host's record, if it joined
// a pool, was closed or was opened.
func hostEvents(event trace.Event, e rock.Edit, to rock.Host) []trace.Event {
	event.Host, event.Pool, event.Zone, event.Rack = to.Name(), to.Pool(), to.Zone(), to.Rack()
	var from rock.Host
	if e.From() != nil {
		if b, err := record.As[record.Host](*e.From()); err == nil {
			from = b.ToHost(to.Name())
		}
	}
	switch {
	case to.Open() && from.Pool() != to.Pool():
		event.Kind = trace.HostAdded
	case to.Open() && !from.Open():
		event.Kind = trace.HostOpened
		if from.Generation() != to.Generation() {
			event.Kind = trace.HostAdded
		}
	case !to.Open() && from.Open():
		event.Kind = trace.HostClosed
	default:
		return nil
	}
	return []trace.Event{event}
}
