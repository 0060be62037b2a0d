// Package jobs runs long-running jobs: it takes them from callers, claims them
// for hosts of the entry's availability zone, watches their tasks, and takes
// over the jobs of entries that stopped.
//
// All that must last is in the platform's table:
//
//   - job/<id> is the job itself.
//   - job_waiting/<rank>-<id> lists jobs that no entry holds, urgent ones first.
//   - job_cancel/<id> asks for a job to be cancelled.
//   - lease/jobs/<session> is the lease of a session, which is one run of one
//     entry. All jobs of a session share it, so the cost of renewing does not
//     grow with their number.
//   - job_held/<session> lists the jobs of a session with their progress.
//
// Every write of a session is made on condition of its lease row and its list.
// An entry whose lease lapsed while it was paused finds the lease row changed:
// its write fails and it drops all its jobs, which another entry holds by then.
// That entry asks the target for the task it finds in the job's row and goes on
// watching it, so neither a planned stop nor a crash of an entry ends a job.
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
