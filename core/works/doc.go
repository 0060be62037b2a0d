// Package works holds the form of the jobs of queues: what a caller hands in,
// how far a job has come, and the rows in which both are kept.
//
// A job is a list of steps. A step has a number of tasks, which start once all
// tasks of the steps that it depends on are done. A job may run several times;
// each time is an occurrence. The name of a task holds the job, the
// occurrence, the step and the index.
//
// The row of a job is written once, by the entry that accepts it. The owner of
// the job's cell alone writes its progress.
//
// # Usage
//
//	if err := spec.Check(); err != nil {
//		return err // malformed
//	}
//	row, err := works.EncodeJob(works.Job{ID: id, Queue: queue, Accepted: now, Spec: spec})
//	...
//	job, err := works.DecodeJob(row)
//	name := works.TaskName{Job: job.ID, Step: 1, Index: 17}.String()
package works
