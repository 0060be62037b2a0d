package cell

import (
	"iter"
	"maps"
	"slices"
	"sort"
	"time"

	"bramleyrock/core/works"
)

// occurrences tells which occurrences of a job have tasks in memory. A job may be scheduled for
// thousands of times. An occurrence is opened, that is, its tasks are made, shortly before its
// scheduled time, or when stored progress tells that it has begun. It is closed once all its
// tasks are done and none of them has a run.
type occurrences struct {
	open map[int][]*step
	// next is the first occurrence that was not opened for its scheduled time.
	next int
	// finished holds the closed occurrences, whose tasks are all done.
	finished chunkSet
	// first holds the position of the first task of each step among the tasks of an occurrence, and
	// size is the number of the latter.
	first []int
	size  int
	// openTasks is the number of tasks of the open occurrences.
	openTasks int
	// outline holds the steps of an occurrence without tasks, for estimates while none is open.
	outline []*step
}

const (
	// openLead is how long before its scheduled time an occurrence is opened. It is longer
	// than the time between decisions.
	openLead = 5 * time.Second
	// maxOpenTasks bounds the tasks of the open occurrences of a job if there are several. More
	// occurrences than that may be due at once, because their times have passed when the job is
	// submitted, or no worker had room for long. They are opened as earlier ones finish.
	maxOpenTasks = works.MaxTasks
)

// initOccurrences sets the number of tasks of a new job.
func (j *job) initOccurrences() {
	o := &j.occurrences
	o.open = map[int][]*step{}
	for i := range j.Spec.Steps {
		s := &step{Step: &j.Spec.Steps[i], job: j, number: i, remaining: j.Spec.Steps[i].Count}
		o.outline, o.first = append(o.outline, s), append(o.first, o.size)
		o.size += s.Count
	}
	j.remaining = o.size * j.Spec.Occurrences()
}

// openDue opens the occurrences that are scheduled to start soon, as many as may be open.
func (j *job) openDue(now time.Time) {
	o := &j.occurrences
	for ; o.next < j.Spec.Occurrences(); o.next++ {
		if now.Add(openLead).Before(j.Spec.ScheduledAt(o.next)) || o.openTasks > 0 && o.openTasks+o.size > maxOpenTasks {
			return
		}
		j.openOccurrence(o.next)
	}
}

// openOccurrence opens an occurrence, unless it is open or closed or the job has no such one.
func (j *job) openOccurrence(n int) {
	o := &j.occurrences
	if n < 0 || n >= j.Spec.Occurrences() || o.open[n] != nil || o.finished.contains(n) {
		return
	}
	steps := make([]*step, 0, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		steps = append(steps, j.newStep(n, i))
	}
	o.open[n] = steps
	o.openTasks += o.size
	at := sort.Search(len(j.steps), func(i int) bool { return j.steps[i].occurrence > n })
	j.steps = slices.Insert(j.steps, at, steps...)
}

// newStep returns an occurrence of a step whose tasks have not run.
func (j *job) newStep(occurrence, number int) *step {
	s := &step{Step: &j.Spec.Steps[number], job: j, occurrence: occurrence, number: number}
	s.tasks, s.remaining = make([]*task, 0, s.Count), s.Count
	first := occurrence*j.occurrences.size + j.occurrences.first[number]
	for i := range s.Count {
		n := works.TaskName{Job: j.ID, Occurrence: occurrence, Step: number, Index: i}
		s.tasks = append(s.tasks, &task{name: n, key: n.String(), step: s, chunk: (first + i) / works.ChunkTasks})
	}
	return s
}

// closeFinished closes the open occurrences that are finished. That of a job with a single one
// stays open.
func (j *job) closeFinished() {
	if j.Spec.Occurrences() == 1 {
		return
	}
	o := &j.occurrences
	before := len(o.open)
	for n, steps := range o.open {
		if slices.ContainsFunc(steps, func(s *step) bool { return s.remaining > 0 || s.hasRun() }) {
			continue
		}
		o.finished.add(n)
		delete(o.open, n)
		o.openTasks -= o.size
	}
	if len(o.open) == before {
		return
	}
	j.steps = slices.DeleteFunc(j.steps, func(s *step) bool { return o.finished.contains(s.occurrence) })
	if before > minShrink && len(o.open) < before/4 { // maps and slices keep their memory
		open := make(map[int][]*step, len(o.open))
		maps.Copy(open, o.open)
		o.open, j.steps = open, slices.Clone(j.steps)
	}
}

// minShrink is the number of open occurrences beyond which the memory of closed ones matters.
const minShrink = 64

// step returns an occurrence of a step, or nil if the job has no such one or it is not open.
func (j *job) step(occurrence, number int) *step {
	steps := j.occurrences.open[occurrence]
	if number < 0 || number >= len(steps) {
		return nil
	}
	return steps[number]
}

// firstSteps returns the steps of the first open occurrence, or without tasks if none is open.
func (j *job) firstSteps() []*step {
	if n := len(j.Spec.Steps); len(j.steps) >= n {
		return j.steps[:n]
	}
	return j.occurrences.outline
}

// occurrencesOf returns the occurrences that have tasks in a chunk.
func (j *job) occurrencesOf(chunk int) iter.Seq[int] {
	o := &j.occurrences
	first := chunk * works.ChunkTasks
	last := min(first+works.ChunkTasks, o.size*j.Spec.Occurrences()) - 1
	return func(yield func(int) bool) {
		for n := first / o.size; n <= last/o.size; n++ {
			if !yield(n) {
				return
			}
		}
	}
}

// finishedTasks returns the progress of those tasks of a closed occurrence that are in a chunk.
func (j *job) finishedTasks(occurrence, chunk int) []works.TaskProgress {
	var list []works.TaskProgress
	for i := range j.Spec.Steps {
		first := occurrence*j.occurrences.size + j.occurrences.first[i]
		for k := range j.Spec.Steps[i].Count {
			if (first+k)/works.ChunkTasks == chunk {
				list = append(list, works.TaskProgress{Occurrence: occurrence, Step: i, Index: k, Done: true})
			}
		}
	}
	return list
}

// updateOccurrences opens and closes occurrences of the jobs that have several of them, or a
// scheduled time.
func (c *Cell) updateOccurrences(now time.Time) {
	for id, j := range c.scheduled {
		if c.jobs[id] != j || j.state.Ended() {
			delete(c.scheduled, id)
			continue
		}
		j.closeFinished()
		j.openDue(now)
	}
}
