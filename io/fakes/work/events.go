package work

import "bramleyrock/core/trace"

// Events returns a ledger as the targets' events of a trace: that each task was
// started, and that it ended if it did.
func Events(runs []Run) []trace.Event {
	events := make([]trace.Event, 0, 2*len(runs))
	for _, r := range runs {
		events = append(events, trace.Event{
			At: r.Start, Kind: trace.Started, Host: r.Host, TaskID: r.TaskID, Pool: r.Pool, Generation: r.Generation,
		})
		if !r.End.IsZero() {
			events = append(events, trace.Event{
				At: r.End, Kind: trace.Ended, Host: r.Host, TaskID: r.TaskID, Pool: r.Pool,
				State: string(r.State), Digest: r.Digest,
			})
		}
	}
	return events
}

// Events returns the ledgers of all workers as events of a trace.
func (f *Fleet) Events() []trace.Event {
	var events []trace.Event
	for _, runs := range f.Runs() {
		events = append(events, Events(runs)...)
	}
	return events
}
