package targ

import (
	"encoding/json"

	rock "bramleyrock"
)

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
