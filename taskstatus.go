package rock

import "encoding/json"

// TaskState is the state of a task on a target.
type TaskState string

// The states of a task.
const (
	TaskRunning   TaskState = "running"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	TaskUnknown   TaskState = "unknown"
)

// TaskStatus is a target's report on a long-running task.
type TaskStatus struct {
	id         string
	state      TaskState
	progress   float64
	checkpoint json.RawMessage
	result     json.RawMessage
}

// NewTaskStatus returns the status of a task. Progress is from 0 to 1; the
// checkpoint and the result are JSON values or nil.
func NewTaskStatus(id string, state TaskState, progress float64, checkpoint, result json.RawMessage) TaskStatus {
	return TaskStatus{id: id, state: state, progress: progress, checkpoint: checkpoint, result: result}
}

// ID returns the task id.
func (t TaskStatus) ID() string { return t.id }

// State returns the task's state.
func (t TaskStatus) State() TaskState { return t.state }

// Progress returns the fraction of the work that is done, from 0 to 1.
func (t TaskStatus) Progress() float64 { return t.progress }

// Checkpoint returns the latest checkpoint, or nil.
func (t TaskStatus) Checkpoint() json.RawMessage { return t.checkpoint }

// Result returns the result, or nil if there is none yet.
func (t TaskStatus) Result() json.RawMessage { return t.result }
