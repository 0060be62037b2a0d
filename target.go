package rock

import "context"

// Target runs tasks on hosts.
type Target interface {
	// Run runs the task on the host and returns its complete answer. Every
	// error carries a verdict.
	Run(ctx context.Context, host Host, task Task) (Answer, error)
	// Start starts a long-running task and returns once the target accepts it.
	Start(ctx context.Context, host Host, task Task) error
	// Status returns the progress of a started task and renews its lease.
	Status(ctx context.Context, host Host, taskID string) (TaskStatus, error)
	// Checkpoint asks a started task to save a checkpoint and returns its status
	// with the checkpoint.
	Checkpoint(ctx context.Context, host Host, taskID string) (TaskStatus, error)
	// Cancel stops a task and frees its slot. An unknown task is no error.
	Cancel(ctx context.Context, host Host, taskID string) error
	// Usage returns the target's report of its load, which may be out of date.
	Usage(ctx context.Context, host Host) (Usage, error)
}
