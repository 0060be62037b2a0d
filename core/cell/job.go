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
	// left is the number of tasks that are not done.
	left   int
	begun  bool
	taken  bool // a task was given a place by this owner
	state  works.State
	dirty  bool
	stored bool // a progress row exists
	cancel bool // a cancel row exists
	// arrival is when the cell heard of the job.
	arrival time.Time
	// outlook is the job's description for its rank, as of outlookAt; the zero
	// time means that it must be made again.
	outlook   rank.Job
	outlookAt time.Time
}

// step is one occurrence of a step of a job.
type step struct {
	*works.Step
	job        *job
	occurrence int
	number     int
	tasks      []*task
	left       int
	advice     advice
}

// task is one task of a step.
type task struct {
	name works.TaskName
	key  string
	step *step
	done bool
	// failed lists the runs that failed.
	failed     []int64
	checkpoint string
	current    *run
	lastRun    int64
	// failedOn is the worker on which the last run failed.
	failedOn string
	// endedAt is when the last run ended.
	endedAt time.Time
}

// newJob returns the live form of an accepted job.
func newJob(now time.Time, j works.Job, q works.Queue, version uint64) *job {
	l := &job{Job: j, queue: q, version: version, state: works.Queued, arrival: now}
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
	s.left = s.Count
	j.left += s.Count
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

// ready reports whether the step's tasks may start.
func (s *step) ready(now time.Time) bool {
	if due := s.job.Spec.ScheduledAt(s.occurrence); now.Before(due) {
		return false
	}
	for _, a := range s.DependsOn {
		if s.job.step(s.occurrence, a).left > 0 {
			return false
		}
	}
	return true
}

// finish marks the task as done.
func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.step.left--
	t.step.job.left--
	t.step.job.outlookAt = time.Time{}
	t.step.job.dirty = true
}

// progress returns what is known of the job's tasks.
func (j *job) progress() works.Progress {
	p := works.Progress{Started: j.begun}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if !t.done && len(t.failed) == 0 && t.current == nil {
				continue
			}
			r := works.TaskProgress{
				Occurrence: s.occurrence, Step: s.number, Index: t.name.Index,
				Done: t.done, Failed: t.failed, Run: t.lastRun, Checkpoint: t.checkpoint,
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
	j.begun = j.begun || p.Started
	j.stored = true
	places := map[*task]string{}
	for _, r := range p.Tasks {
		s := j.step(r.Occurrence, r.Step)
		if s == nil || r.Index < 0 || r.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[r.Index]
		t.failed, t.lastRun, t.checkpoint = r.Failed, r.Run, r.Checkpoint
		if r.Done {
			t.finish()
		} else if r.Worker != "" {
			places[t] = r.Worker
		}
	}
	j.dirty = false
	return places
}
