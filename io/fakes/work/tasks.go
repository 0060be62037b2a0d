package work

import (
	"encoding/json"
	"fmt"
	"time"

	rock "bramleyrock"
)

// status returns the report on a task and renews its lease.
func (w *Worker) status(now time.Time, id string) (rock.TaskStatus, error) {
	return w.withTask(now, "task status", id, func(t *task) { t.renewed = now })
}

// saveState makes the task save its state and returns its report.
func (w *Worker) saveState(now time.Time, id string) (rock.TaskStatus, error) {
	return w.withTask(now, "checkpoint", id, func(t *task) {
		if t.state == rock.TaskRunning {
			t.checkpoint = json.RawMessage(fmt.Sprintf(`{"progress":%.4f}`, t.progress(now)))
		}
	})
}

// withTask applies a change to a task and returns its report.
func (w *Worker) withTask(now time.Time, op, id string, change func(t *task)) (rock.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	t, ok := w.tasks[id]
	if !ok {
		return rock.TaskStatus{}, rock.Fail(op, id, rock.NotFound, rock.MayHaveRun).
			Becausef("%s does not know the task", w.settings.Name)
	}
	change(t)
	return t.status(id, now), nil
}

// revoke makes sure that a task is not started from now on, and returns the
// report on it.
func (w *Worker) revoke(now time.Time, id string) (rock.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	if t, ok := w.tasks[id]; ok {
		return t.status(id, now), nil
	}
	w.forbid(now, id)
	return rock.NewTaskStatus(id, rock.TaskUnknown, 0, nil, nil), nil
}

// forbid makes sure that a task that was not started never will be. The caller
// holds the lock.
func (w *Worker) forbid(now time.Time, id string) {
	if !w.revoked[id] {
		w.revoked[id] = true
		w.revocation = append(w.revocation, revocation{id, now})
	}
}

// cancel stops a task and frees its slot, or revokes it if it was not started.
func (w *Worker) cancel(now time.Time, id string) (rock.TaskStatus, error) {
	w.stop(now, id)
	return w.revoke(now, id)
}

// stop ends a running task.
func (w *Worker) stop(now time.Time, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	if _, ok := w.running[id]; ok {
		w.end(id, now, rock.TaskCancelled)
	}
}

// release takes a holder off the task; its lease runs from now on.
func (w *Worker) release(now time.Time, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	if t, ok := w.tasks[id]; ok {
		t.holders--
		t.renewed = now
	}
}

// remaining returns how long the task goes on working.
func (w *Worker) remaining(now time.Time, id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	t, ok := w.running[id]
	if !ok {
		return 0
	}
	at, _ := t.endsAt()
	return at.Sub(now)
}

// swapped returns the id of another task that was done before, or id itself.
func (w *Worker) swapped(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.ended) - 1; i >= 0; i-- {
		if other := w.ended[i]; other != id && w.tasks[other].state == rock.TaskDone {
			return other
		}
	}
	return id
}
