// Package trace records events of a run and checks that they satisfy invariants of
// the system, which are called outcomes.
//
// A trace is a file of JSON lines with field names in snake case: a [Header] with
// the version of the format, then one [Event] on each line. Events are recorded by
// entries, by targets (started, ended) and by the driver of an experiment. The
// constants of type [Kind] are the kinds of events. Events need not be in order of
// time.
//
// [Check] checks events against outcomes and returns every violation with the
// line of the event that caused it. The outcomes are:
//
//	whole_answers       each request gets one answer, its own and complete
//	not_run_true        a request refused as not_run was never started
//	at_most_once        work that is not idempotent is started at most once
//	leaving_left_alone  no new work on a host 5 s after it was closed
//	nothing_cut         a planned stop interrupts nothing in flight
//	one_pool_per_host   no target holds running tasks of two pools
//	budget_holds        no change of this system violates an availability budget
//	in_force_within     a change is in force at every entry within 10 s
//	never_older         no entry returns to an older configuration
//	lease_one_holder    one holder for each epoch, no writes under an old epoch
//	urgent_within       urgent work starts within 7.8 s
//	isolation           a surge of one pool does not delay the others
//
// # Usage
//
// An experiment collects events, checks them and may write them to a file:
//
//	var log trace.Log
//	log.Add(trace.Event{At: now, Kind: trace.Arrived, Entry: "e1", RequestID: "r1", Pool: "tins"})
//	for _, v := range trace.Check(log.Events(), trace.Outcomes()) {
//		t.Error(v)
//	}
//	err := log.WriteTrace(file, trace.Header{Name: "surge", Seed: 1})
//
// A written trace is read strictly. Errors name the line:
//
//	header, events, err := trace.Read(file)
//	outcomes, err := trace.Select(header.Outcomes...)
//	violations := trace.Check(events, outcomes)
package trace
