package cell_test

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// modelGangWait is how long a run of a gang waits for the others.
const modelGangWait = 4 * time.Second

// gangMember is a run of a gang and its worker.
type gangMember struct {
	worker *modelWorker
	task   string
}

// gang returns the runs with that number of the gang of a task.
func (m *model) gang(task string, number int64) []gangMember {
	n, err := works.ParseTaskName(task)
	assert.NilError(m.t, err)
	var members []gangMember
	for i := range m.step(task).Count {
		n.Index = i
		name := n.String()
		for _, w := range m.workers {
			if r := w.running[name]; r != nil && r.number == number {
				members = append(members, gangMember{w, name})
			}
		}
	}
	return members
}

// joinGang lets the gang of a run work once all of its runs are present. The run ends if
// the others do not come.
func (m *model) joinGang(w *modelWorker, task string, r *modelRun) {
	incarnation := w.startedAt
	m.after(modelGangWait, func() {
		if r.alive && !r.working && w.startedAt.Equal(incarnation) {
			m.endRun(w, task, rock.EndAlone)
		}
	})
	members := m.gang(task, r.number)
	if len(members) < m.step(task).Count {
		return
	}
	for _, x := range members {
		x.worker.running[x.task].working = true
	}
	runTime, how := m.runTime(task)
	m.after(runTime, func() {
		present := m.gang(task, r.number)
		if len(present) < len(members) {
			return // it has ended for another reason
		}
		if how != rock.EndDone {
			m.endRun(present[0].worker, present[0].task, how)
			return
		}
		for _, x := range present {
			m.done[x.task] = true
		}
		for _, x := range present {
			m.endRun(x.worker, x.task, rock.EndDone)
		}
	})
}

// breakGang ends the other runs of a gang of which one has ended.
func (m *model) breakGang(task string, number int64, how rock.EndReason) {
	st := m.step(task)
	if st == nil || !st.Gang || how == rock.EndDone || how == rock.EndBroken || how == rock.EndAlone {
		return
	}
	for _, x := range m.gang(task, number) {
		if x.worker.running[x.task].working {
			m.endRun(x.worker, x.task, rock.EndBroken)
		}
	}
}
