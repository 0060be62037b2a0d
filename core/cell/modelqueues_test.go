package cell_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyrock/core/works"
)

const (
	// modelAttempts is the number of attempts of queues that do not change, and the others are
	// those of queues that do.
	modelAttempts    = 3
	minModelAttempts = 1
	maxModelAttempts = 4
	// recordDelay is how long after a change the records of the queues may be written.
	recordDelay = 1700 * time.Millisecond
)

// modelQueues is the part of the model's state that lets the operator change the number of
// attempts, and remove the queues and add them again. It draws from a source of its own.
type modelQueues struct {
	random     *rand.Rand
	configured bool
	// attempts is the last configured number, and recorded that of the queues' records.
	attempts int
	recorded int
	changes  int
}

// newQueuesModel returns a model of a fleet with all kinds of steps and faults, and queues that
// change.
func newQueuesModel(t *testing.T, seed uint64) *model {
	m := newKindsModel(t, seed)
	m.queues = &modelQueues{random: rand.New(rand.NewPCG(seed, 8)), configured: true, attempts: modelAttempts, recorded: modelAttempts}
	m.after(time.Second, m.changeQueues)
	return m
}

// accept chooses the queue of a job and stores its settings with the job. A program that stored
// none accepts some. No task of some persistent jobs may be stopped, so that they hold drains up.
func (q *modelQueues) accept(j *works.Job) {
	if j.Queue = plainQueue; q.random.IntN(2) == 0 {
		j.Queue = ticketQueue
	}
	if s := &j.Spec.Steps[0]; s.Persistent && q.random.IntN(2) == 0 {
		s.MaxUnavailable = 0
	}
	if q.random.IntN(5) > 0 {
		queue := modelQueue(j.Queue, q.attempts)
		j.Settings = queue.Settings()
	}
}

// modelQueue returns a queue of the model.
func modelQueue(name string, attempts int) works.Queue {
	return works.Queue{Name: name, Pool: "tins", Attempts: attempts, Stretch: 1.6, Objective: 600 * time.Millisecond, RequiresTicket: name == ticketQueue}
}

// setQueues passes the present configuration, and the records of removed queues, to the owner.
func (o *modelOwner) setQueues() {
	configured, recorded := modelAttempts, 0
	if q := o.m.queues; q != nil {
		configured, recorded = q.attempts, q.recorded
		if !q.configured {
			configured = 0
		}
	}
	var queues, removed []works.Queue
	for _, name := range []string{plainQueue, ticketQueue} {
		if configured > 0 {
			queues = append(queues, modelQueue(name, configured))
		} else {
			removed = append(removed, modelQueue(name, recorded))
		}
	}
	o.core.SetQueues(queues, removed...)
}

// changeQueues changes the number of attempts, or removes the queues and adds them again, some of
// them before the records of the change are written.
func (m *model) changeQueues() {
	q := m.queues
	q.changes++
	q.configured = !q.configured || q.random.IntN(2) == 0
	if q.configured {
		q.attempts = minModelAttempts + q.random.IntN(maxModelAttempts-minModelAttempts+1)
	}
	m.log("take: queues configured %v with %d attempts", q.configured, q.attempts)
	change := q.changes
	m.after(time.Duration(q.random.Int64N(int64(recordDelay))), func() {
		if q.changes == change && q.configured {
			q.recorded = q.attempts
		}
	})
	m.after(time.Duration(q.random.Int64N(int64(200*time.Millisecond))), func() {
		if o := m.owner; o != nil {
			o.handle(o.setQueues)
		}
	})
	m.after(time.Duration(q.random.Int64N(int64(3*time.Second))), m.changeQueues)
}

// maxAttempts returns how often a task may fail at most.
func (m *model) maxAttempts(task string) int {
	n, _ := works.ParseTaskName(task)
	switch s := m.specs[n.Job].Settings; {
	case s.Known():
		return s.Attempts
	case m.queues != nil:
		return maxModelAttempts
	}
	return modelAttempts
}

// stepKey returns the task, or the first task of its gang, whose tasks fail together.
func (m *model) stepKey(task string) string {
	if st := m.step(task); st != nil && st.Gang {
		n, _ := works.ParseTaskName(task)
		n.Index = 0
		return n.String()
	}
	return task
}

// recordFailure records that a run has failed.
func (m *model) recordFailure(task string, run int64) {
	key := m.stepKey(task)
	if m.failedRuns[key] == nil {
		m.failedRuns[key] = map[int64]bool{}
	}
	m.failedRuns[key][run] = true
}

// checkFailed fails the test if a job has failed before one of its tasks has used up the attempts
// with which the job was accepted.
func (m *model) checkFailed(id string) {
	j := m.specs[id]
	if !j.Settings.Known() {
		return
	}
	most := 0
	for i := range j.Spec.Steps {
		for k := range j.Spec.Steps[i].Count {
			task := works.TaskName{Job: id, Step: i, Index: k}.String()
			most = max(most, len(m.failedRuns[m.stepKey(task)]))
		}
	}
	if most < j.Settings.Attempts {
		m.t.Log(m.owner.core.Describe(m.now, id))
		m.fail("LOST: %s has failed after %d of %d attempts", id, most, j.Settings.Attempts)
	}
}

// queueSeeds holds seeds that failed: the first one before the settings were stored with jobs, the next two
// before the adviser was asked about workers that are drained, the next one when a gang that did not
// fit hid a worker from the tasks after it, the next one when a report of a former incarnation was late,
// the next two when workers were reserved for tasks that may not run on them, the last one when a worker
// had restarted and refused to stop a run that it did not have.
var queueSeeds = []uint64{115, 3185, 3255, 12510, 30341, 50008, 50020, 50018}

// TestRandomFleetChanges guards against jobs that are failed too early, or tasks that are started
// too often, because the operator changes, removes and adds their queue.
func TestRandomFleetChanges(t *testing.T) {
	seeds := slices.Clone(queueSeeds)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newQueuesModel(t, seed).run() })
	}
}
