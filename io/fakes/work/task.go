package work

import (
	"encoding/json"
	"time"

	rock "bramleyrock"
)

// task is a task that was started.
type task struct {
	run        int
	payload    Payload
	state      rock.TaskState
	start      time.Time
	length     time.Duration
	lease      time.Duration
	renewed    time.Time
	holders    int
	checkpoint json.RawMessage
}

// revocation is a task that will not be started, and since when that is so.
type revocation struct {
	id string
	at time.Time
}

// endsAt returns when the work is done, or when the lease lapses if that comes
// first, and the state in which the task ends then.
func (t *task) endsAt() (time.Time, rock.TaskState) {
	done := t.start.Add(t.length)
	if t.holders > 0 || t.lease <= 0 {
		return done, rock.TaskDone
	}
	if lapse := t.renewed.Add(t.lease); lapse.Before(done) {
		return lapse, rock.TaskCancelled
	}
	return done, rock.TaskDone
}

// progress returns the share of the work that is done.
func (t *task) progress(now time.Time) float64 {
	if t.state == rock.TaskDone || t.length <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(t.start))/float64(t.length))
}

// status returns the report on the task.
func (t *task) status(id string, now time.Time) rock.TaskStatus {
	var result json.RawMessage
	if t.state == rock.TaskDone {
		result = t.payload.answer()
	}
	return rock.NewTaskStatus(id, t.state, t.progress(now), t.checkpoint, result)
}
