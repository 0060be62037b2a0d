// Package job defines the state machine of long-running jobs.
//
// A job is a row in the platform's table. It waits until an entry claims it for
// a host of its availability zone, runs there as a task under a lease, and ends
// in one of the final states. Each claim has its own epoch, which is part of the
// task's id, so that two claims never share a task.
//
// An idempotent job is claimed again, and continues from its last checkpoint,
// when its task is lost, when its host is closed, or when an urgent job preempts
// it. A job that is not idempotent is started once only: if its task is lost, it
// ends as unsettled with verdict may_have_run. An idempotent job that failed on
// [Limits.MaxFailedHosts] different hosts is quarantined.
//
// # Usage
//
//	j := job.New(job.Spec{ID: id, Organisation: "alpha", Pool: "tins"}, now)
//	j = j.Claim(now, "e1", "h7")
//	switch limits.NextAction(now, j, observation) {
//	case job.Continue:
//	case job.Complete:
//		j = j.Complete(now, result)
//	}
package job
