package entry

import (
	"context"
	"time"

	"bramleyrock/io/jobs"
	"bramleyrock/io/logs"
)

// buildJobs makes the part that runs long-running jobs.
func (e *Entry) buildJobs() {
	e.jobsEnded = make(chan struct{})
	e.jobs = jobs.New(jobs.Settings{
		Member: e.member,
		Table:  e.platform,
		Target: e.targets,
		Fleet:  e.books,
		Placer: e.engine,
		Now:    time.Now,
		Log:    e.settings.Log.WithField(logs.PartField, "jobs"),
		Scope:  e.meter.Scope(),
	})
}

// runJobs runs jobs until the entry leaves.
func (e *Entry) runJobs(ctx context.Context) error {
	defer close(e.jobsEnded)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.left, cancel)()
	_ = e.jobs.Run(ctx) // it ends with its context only
	return nil
}

// handOverJobs lets other entries take over the jobs that this one holds.
func (e *Entry) handOverJobs(ctx context.Context) {
	e.leave()
	select {
	case <-e.jobsEnded:
	case <-ctx.Done():
	}
}
