package targ

import (
	"encoding/json"
	"time"

	rock "bramleyrock"
)

// TaskForm is the JSON form of a task.
type TaskForm struct {
	TaskID     string          `json:"task_id"`
	Pool       string          `json:"pool"`
	Generation uint64          `json:"generation"`
	LeaseMS    int64           `json:"lease_ms"`
	Deadline   time.Time       `json:"deadline,omitzero"`
	Payload    json.RawMessage `json:"payload"`
}

// FromTask returns the JSON form of a task. An empty payload becomes null.
func FromTask(t rock.Task) TaskForm {
	payload := t.Payload()
	if len(payload) == 0 {
		payload = json.RawMessage("null")
	}
	return TaskForm{t.ID(), t.Pool(), t.Generation(), t.Lease().Milliseconds(), t.Deadline(), payload}
}

// Task returns the task.
func (f TaskForm) Task() rock.Task {
	lease := time.Duration(f.LeaseMS) * time.Millisecond
	return rock.NewTask(f.TaskID, f.Pool, f.Generation, lease, f.Deadline, f.Payload)
}
