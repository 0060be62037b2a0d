package targ

import (
	"encoding/json"
	"time"

	rock "bramleyrock"
)

const (
	// TaskHeader is the HTTP header that carries the task id of an answer.
	TaskHeader = "Bramleyrock-Task"
	// CallHeader is the HTTP header that carries the id of a call, and that of
	// the call that is answered.
	CallHeader = "Bramleyrock-Call"
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

// StatusForm is the JSON form of a task's status.
type StatusForm struct {
	TaskID     string          `json:"task_id"`
	State      rock.TaskState  `json:"state"`
	Progress   float64         `json:"progress"`
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
}

// FromStatus returns the JSON form of a status.
func FromStatus(s rock.TaskStatus) StatusForm {
	return StatusForm{s.ID(), s.State(), s.Progress(), s.Checkpoint(), s.Result()}
}

// Status returns the status.
func (f StatusForm) Status() rock.TaskStatus {
	return rock.NewTaskStatus(f.TaskID, f.State, f.Progress, f.Checkpoint, f.Result)
}

// UsageForm is the JSON form of a target's report of its load.
type UsageForm struct {
	Busy  int       `json:"busy"`
	Slots int       `json:"slots"`
	AsOf  time.Time `json:"as_of"`
}

// FromUsage returns the JSON form of a report.
func FromUsage(u rock.Usage) UsageForm { return UsageForm{u.Busy(), u.Slots(), u.AsOf()} }

// Usage returns the report.
func (f UsageForm) Usage() rock.Usage { return rock.NewUsage(f.Busy, f.Slots, f.AsOf) }
