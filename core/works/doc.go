// Package works defines queued jobs: the specification that a caller submits,
// the progress and outcome of a job, and the encoding of both as table rows.
//
// A job is a list of steps. A step has a number of tasks, which start once all
// tasks of the steps that it depends on are done. A job may run several times;
// each run of its steps is an occurrence. The name of a task consists of the
// job, the occurrence, the step and the index of the task in the step.
//
// The entry that accepts a job writes its row once. A cell is a pool, or a
// share of one, whose jobs one entry owns at a time; only the owner of the
// job's cell writes the job's progress.
//
// # Usage
//
//	if err := spec.Check(); err != nil {
//		return err // names the wrong value
//	}
//	row, err := works.EncodeJob(works.Job{ID: id, Queue: queue, Accepted: now, Spec: spec})
//	...
//	job, err := works.DecodeJob(row)
//	name := works.TaskName{Job: job.ID, Step: 1, Index: 17}.String()
package works
