// Package job decides the life of long-running jobs.
//
// A job is a row in the platform's table. It waits until an entry claims it for
// a host of its availability zone, runs there as a task under a lease, and ends
// in one of the ended states. Each claim has an epoch, and the task's id holds
// it, so that two claims never share a task.
//
// A job that is idempotent is claimed again, from its last checkpoint, when its
// task is lost, when its host is closed, or when an urgent job needs the slot.
// A job that is not idempotent is started once only: if its task is lost, it
// ends as unsettled with verdict may_have_run. A job that failed on a few
// different hosts is quarantined.
//
// # Usage
//
//	j := job.New(job.Spec{ID: id, Organisation: "alpha", Pool: "tins"}, now)
//	j = j.Claim(now, "e1", "h7")
//	switch limits.Judge(now, j, sight) {
//	case job.Keep:
//	case job.Finish:
//		j = j.Finish(now, result)
//	}
package job
