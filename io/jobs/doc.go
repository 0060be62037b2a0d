// Package jobs runs long-running jobs. It accepts them from callers, claims
// them for hosts in the entry's availability zone, monitors their tasks, and
// takes over the jobs of entries that stopped.
//
// All durable state is in these rows of the platform's table:
//
//   - job/<id> is the job itself.
//   - job_waiting/<rank>-<id> marks a job that no entry holds. Rank 0 is
//     urgent and sorts first; rank 1 is normal.
//   - job_cancel/<id> is a request to cancel a job.
//   - lease/jobs/<session> is the lease of a session. A session is one run of
//     one entry, or the part of a run after an earlier session was lost. All
//     jobs of a session share its lease, so the cost of renewal does not grow
//     with the number of jobs.
//   - job_held/<session> lists the jobs that a session holds, with their
//     progress. It is called the held list.
//
// Every write to the jobs of a session is conditional on the versions of its
// lease row and its held list. If the lease expires while the entry is paused,
// another entry takes the session over and thereby changes the lease row. The
// next write of the paused entry then fails, and it abandons all its jobs. The
// new holder looks up the task's id in the job's row and goes on monitoring the
// task at the target. So neither a planned stop nor a crash of an entry ends a
// job.
//
// # Usage
//
//	j := jobs.New(jobs.Settings{
//		Member: member, Table: table, Target: target, Fleet: follower,
//		Placer: engine, Log: log, Scope: scope,
//	})
//	group.Go("jobs", j.Run)
//	callerDoor.Handle("/v1/jobs/", j.Handler())
//	callerDoor.Handle("POST /v1/pools/{pool}/jobs", j.Handler())
package jobs
