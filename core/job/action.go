package job

// Action is what a holder should do about a job.
type Action string

// The actions.
const (
	// Continue means that the task runs on.
	Continue Action = "keep"
	// Complete means that the result is there.
	Complete Action = "finish"
	// Fail means that the task failed.
	Fail Action = "fail"
	// HandleLoss means that the task is lost.
	HandleLoss Action = "lose"
	// Cancel means that the task should be cancelled for the caller.
	Cancel Action = "stop"
	// Expire means that the task should be cancelled for running too long.
	Expire Action = "expire"
	// Migrate means that the task should be checkpointed and cancelled, so that
	// the job runs on another host.
	Migrate Action = "move"
	// Checkpoint means that a checkpoint is due.
	Checkpoint Action = "save"
)
