package cell

import (
	"time"

	"bramleyrock/core/rank"
	"bramleyrock/core/works"
)

// job is a live job.
type job struct {
	works.Job
	queue   works.Queue
	version uint64
	steps   []*step
	// remaining is the number of tasks that are not done.
	remaining      int
	started        bool
	placed         bool // a task was given a place by this owner
	state          works.State
	dirty          bool
	hasProgressRow bool // a progress row exists
	hasCancelRow   bool // a cancel row exists
	// addedAt is when the cell heard of the job.
	addedAt time.Time
	// rankInput is the job's description for its rank, as of outlookAt; the zero
	// time means that it must be made again.
	rankInput   rank.Job
	rankInputAt time.Time
}

// step is one occurrence of a step of a job.
type step struct {
	*works.Step
	job        *job
	occurrence int
	number     int
	tasks      []*task
	remaining  int
	advice     advice
}

// task is one task of a step.
type task struct {
	name works.TaskName
	key  string
	step *step
	done bool
	// failedRuns lists the runs that failed.
	failedRuns []int64
	checkpoint string
	current    *run
	lastRun    int64
	// lastFailedWorker is the worker on which the last run failed.
	lastFailedWorker string
	// endedAt is when the last run ended.
	endedAt time.Time
}

// newJob returns the live form of an accepted job.
func newJob(now time.Time, j works.Job, q works.Queue, version uint64) *job {
	l := &job{Job: j, queue: q, version: version, state: works.Queued, addedAt: now}
	for k := range l.Spec.Occurrences() {
		for i := range l.Spec.Steps {
			l.steps = append(l.steps, newStep(l, k, i))
		}
	}
	return l
}

func newStep(j *job, occurrence, number int) *step {
	s := &step{Step: &j.Spec.Steps[number], job: j, occurrence: occurrence, number: number}
	for i := range s.Count {
		n := works.TaskName{Job: j.ID, Occurrence: occurrence, Step: number, Index: i}
		s.tasks = append(s.tasks, &task{name: n, key: n.String(), step: s})
	}
	s.remaining = s.Count
	j.remaining += s.Count
	return s
}

// step returns an occurrence of a step, or nil.
func (j *job) step(occurrence, number int) *step {
	n := len(j.Spec.Steps)
	if number < 0 || number >= n || occurrence < 0 || occurrence >= j.Spec.Occurrences() {
		return nil
	}
	return j.steps[occurrence*n+number]
}

// mayStart reports whether the step's tasks may start.
func (s *step) mayStart(now time.Time) bool {
	if due := s.job.Spec.ScheduledAt(s.occurrence); now.Before(due) {
		return false
	}
	for _, a := range s.DependsOn {
		if s.job.step(s.occurrence, a).remaining > 0 {
			return false
		}
	}
	return true
}

// markDone marks the task as done.
func (t *task) markDone() {
	if t.done {
		return
	}
	t.done = true
	t.step.remaining--
	t.step.job.remaining--
	t.step.job.rankInputAt = time.Time{}
	t.step.job.dirty = true
}

// progress returns what is known of the job's tasks.
func (j *job) progress() works.Progress {
	p := works.Progress{Started: j.started}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if !t.done && len(t.failedRuns) == 0 && t.current == nil {
				continue
			}
			r := works.TaskProgress{
				Occurrence: s.occurrence, Step: s.number, Index: t.name.Index,
				Done: t.done, Failed: t.failedRuns, Run: t.lastRun, Checkpoint: t.checkpoint,
			}
			if t.current != nil {
				r.Run, r.Worker = t.current.number, t.current.worker.id()
			}
			p.Tasks = append(p.Tasks, r)
		}
	}
	return p
}

// restore puts stored progress in force and returns the tasks that may be
// running, with the workers on which they may be.
func (j *job) restore(p works.Progress) map[*task]string {
	j.started = j.started || p.Started
	j.hasProgressRow = true
	places := map[*task]string{}
	for _, r := range p.Tasks {
		s := j.step(r.Occurrence, r.Step)
		if s == nil || r.Index < 0 || r.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[r.Index]
		t.failedRuns, t.lastRun, t.checkpoint = r.Failed, r.Run, r.Checkpoint
		if r.Done {
			t.markDone()
		} else if r.Worker != "" {
			places[t] = r.Worker
		}
	}
	j.dirty = false
	return places
}
