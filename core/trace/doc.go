// Package trace holds recorded runs and the outcomes by which they are judged.
//
// A trace is a file of JSON lines in snake case: a [Header] with the version of
// the format, then an [Event] on each line. Events are taken at entries, at
// targets (started, ended) and by the driver of an experiment; [Kind] lists
// them. They need not be in order of time.
//
// An [Outcome] states something that must hold, such as "not_run_true".
// [Check] judges events by outcomes and names every one that is broken with
// the line that broke it. The outcomes are:
//
//	whole_answers       each request gets one answer, its own and whole
//	not_run_true        what was refused as not_run was never started
//	at_most_once        work that is not idempotent is started at most once
//	leaving_left_alone  no new work on a host 5 s after it was closed
//	nothing_cut         a planned stop cuts nothing in flight
//	one_pool_per_host   no target holds running tasks of two pools
//	budget_holds        no act of ours breaks an availability budget
//	in_force_within     a change is in force at every entry within 10 s
//	never_older         no entry goes back to an older configuration
//	lease_one_holder    one holder for each epoch, no late writes
//	urgent_within       urgent work starts within 7.8 s
//	isolation           a surge of one pool does not delay the others
//
// # Usage
//
// An experiment collects events and judges or keeps them:
//
//	var log trace.Log
//	log.Add(trace.Event{At: now, Kind: trace.Arrived, Entry: "e1", RequestID: "r1", Pool: "tins"})
//	for _, v := range trace.Check(log.Events(), trace.Outcomes()) {
//		t.Error(v)
//	}
//	err := log.WriteTrace(file, trace.Header{Name: "surge", Seed: 1})
//
// A kept trace is read strictly; errors name the line:
//
//	header, events, err := trace.Read(file)
//	outcomes, err := trace.Select(header.Outcomes...)
//	violations := trace.Check(events, outcomes)
package trace
