package job

// Action is what the holder of a running job has to do next about its task.
type Action string

// The actions.
const (
	// Continue means that the task goes on and nothing has to be done.
	Continue Action = "keep"
	// Complete means that the task ended with a result.
	Complete Action = "finish"
	// Fail means that the task ended without a result.
	Fail Action = "fail"
	// HandleLoss means that the task is lost: its target does not know it any
	// more, cancelled it unasked, or has not answered for a whole task lease.
	HandleLoss Action = "lose"
	// Cancel means that the task should be cancelled, or was, because the
	// caller cancelled the job.
	Cancel Action = "stop"
	// Expire means that the task should be cancelled because it has run for
	// longer than the job's bound.
	Expire Action = "expire"
	// Migrate means that the task should be checkpointed and cancelled, so that
	// the job can continue on another host.
	Migrate Action = "move"
	// Checkpoint means that a checkpoint is due.
	Checkpoint Action = "save"
)
