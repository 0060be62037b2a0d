package entry

import (
	"context"
	"time"

	"bramleyrock/io/jobs"
	"bramleyrock/io/logs"
)

// buildJobs constructs the component that runs long-running jobs.
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

// runJobs runs jobs until ctx ends or the entry starts to leave.
func (e *Entry) runJobs(ctx context.Context) error {
	defer close(e.jobsEnded)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.leaveCtx, cancel)()
	_ = e.jobs.Run(ctx) // returns only when ctx has ended
	return nil
}

// handOverJobs stops running jobs, so that other entries can take them over, and
// waits for that until ctx ends.
func (e *Entry) handOverJobs(ctx context.Context) {
	e.startLeaving()
	select {
	case <-e.jobsEnded:
	case <-ctx.Done():
	}
}
