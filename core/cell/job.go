package cell

import (
	"maps"
	"slices"
	"time"

	"bramleyrock/core/rank"
	"bramleyrock/core/works"
)

// job is a job without a stored outcome.
type job struct {
	works.Job
	queue works.Queue
	// queueKnown is false if queue is a substitute, and queueSeen is true once this owner
	// has seen the queue configured.
	queueKnown bool
	queueSeen  bool
	version    uint64
	// steps holds the steps of the open occurrences, in order of occurrence and step; see
	// occurrence.go.
	steps       []*step
	occurrences occurrences
	// dirty holds the chunks whose rows must be written, and stored those that have rows.
	dirty  chunkSet
	stored chunkSet
	// remaining is the number of tasks of all occurrences that are not done.
	remaining    int
	started      bool
	placed       bool // this owner has placed a task of the job
	state        works.State
	hasCancelRow bool
	// addedAt is when the job was added to the cell, and endedAt when it ended.
	addedAt time.Time
	endedAt time.Time
	// rankInput is the cached input for the job's rank, computed at rankInputAt.
	// It is invalid if rankInputAt is zero.
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
	remaining  int // tasks that are not done
	advice     advice
}

// task is one task of a step.
type task struct {
	name works.TaskName
	key  string // name as a string
	step *step
	// chunk is the chunk of the job's tasks to which the task belongs. Every
	// [works.ChunkTasks] of them, in order of occurrence, step and index, share a row with
	// their progress.
	chunk int
	done  bool
	// failedRuns holds the numbers of the runs that failed.
	failedRuns []int64
	checkpoint string
	// current is the run that is placed or may be running, or nil.
	current *run
	lastRun int64
	// lastFailedWorker is the ID of the worker on which a run last failed.
	lastFailedWorker string
	// endedAt is when the last run ended.
	endedAt time.Time
}

// newJob returns the initial state of an accepted job.
func newJob(now time.Time, accepted works.Job, q works.Queue, version uint64) *job {
	j := &job{Job: accepted, queue: q, version: version, state: works.Queued, addedAt: now}
	j.initOccurrences()
	j.openDue(now)
	return j
}

// mayStart reports whether the step's scheduled time has come and the steps that
// it depends on are done.
func (s *step) mayStart(now time.Time) bool {
	if scheduled := s.job.Spec.ScheduledAt(s.occurrence); now.Before(scheduled) {
		return false
	}
	for _, d := range s.DependsOn {
		if s.job.step(s.occurrence, d).remaining > 0 {
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
	t.restoreDone()
	t.markDirty()
}

// awaitsQueue reports whether the task may not be started again because it has failed and the
// number of its attempts is not known.
func (t *task) awaitsQueue() bool { return !t.step.job.queueKnown && len(t.failedRuns) > 0 }

// markDirty records that the task's progress must be written.
func (t *task) markDirty() { t.step.job.dirty.add(t.chunk) }

// progress returns the progress of a chunk of the job's tasks in the form that is stored.
// Tasks that have not run are left out.
func (j *job) progress(chunk int) works.Progress {
	p := works.Progress{Started: j.started}
	for n := range j.occurrencesOf(chunk) {
		if j.occurrences.finished.contains(n) {
			p.Tasks = append(p.Tasks, j.finishedTasks(n, chunk)...)
			continue
		}
		for _, s := range j.occurrences.open[n] {
			for _, t := range s.tasks {
				if t.chunk == chunk && (t.done || len(t.failedRuns) > 0 || t.current != nil) {
					p.Tasks = append(p.Tasks, t.progress())
				}
			}
		}
	}
	return p
}

// progress returns the progress of the task in the form that is stored.
func (t *task) progress() works.TaskProgress {
	p := works.TaskProgress{
		Occurrence: t.step.occurrence, Step: t.step.number, Index: t.name.Index,
		Done: t.done, Failed: t.failedRuns, Run: t.lastRun, Checkpoint: t.checkpoint,
	}
	if t.current != nil {
		p.Run, p.Worker = t.current.number, t.current.worker.id()
	}
	return p
}

// chunksToWrite returns the changed chunks in the order in which their rows are written. The
// first chunk comes first if it has no row, since callers see by its row that the job has
// started. Otherwise it comes last: its row may be that of a program that stored the progress
// of all tasks in it.
func (j *job) chunksToWrite() []int {
	isNew := !j.stored.contains(0)
	if isNew {
		j.dirty.add(0)
	}
	list := j.dirty.list()
	if !isNew {
		slices.Reverse(list)
	}
	return list
}

// restore applies the stored rows of progress and returns the tasks that may be running,
// with the IDs of their workers. If several rows hold a task, the newest one counts.
func (j *job) restore(rows []works.Progress) map[*task]string {
	workers := map[*task]string{}
	for _, p := range slices.SortedFunc(slices.Values(rows), func(a, b works.Progress) int { return a.Stamp.Compare(b.Stamp) }) {
		j.restoreRow(p, workers)
	}
	for _, s := range j.steps {
		if s.Gang {
			s.alignGang()
		}
	}
	maps.DeleteFunc(workers, func(t *task, _ string) bool { return t.done })
	j.closeFinished()
	return workers
}

// restoreRow applies one row of progress. A program that stored all tasks in one row left
// rows with tasks of several chunks; all of these chunks must be written then.
func (j *job) restoreRow(p works.Progress, workers map[*task]string) {
	j.started = j.started || p.Started
	var chunks chunkSet
	for _, tp := range p.Tasks {
		j.openOccurrence(tp.Occurrence)
		s := j.step(tp.Occurrence, tp.Step)
		if s == nil || tp.Index < 0 || tp.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[tp.Index]
		chunks.add(t.chunk)
		t.failedRuns, t.lastRun, t.checkpoint = tp.Failed, tp.Run, tp.Checkpoint
		delete(workers, t)
		if tp.Done {
			t.restoreDone()
		} else if tp.Worker != "" {
			workers[t] = tp.Worker
		}
	}
	if chunks.count() > 1 {
		j.dirty.addAll(chunks)
		chunks.add(0) // the row is that of the first chunk
	}
	j.stored.addAll(chunks)
	if chunks.count() == 0 {
		j.stored.add(0)
	}
}

// restoreDone marks the task as done, which is stored already.
func (t *task) restoreDone() {
	if t.done {
		return
	}
	t.done = true
	t.step.remaining--
	t.step.job.remaining--
	t.step.job.rankInputAt = time.Time{}
}

// alignGang gives all tasks of a restored gang the progress of the one that has the most:
// they end and fail together, and their rows may have been written one after another.
func (s *step) alignGang() {
	done, failed := false, []int64(nil)
	for _, t := range s.tasks {
		done = done || t.done
		if len(t.failedRuns) > len(failed) {
			failed = t.failedRuns
		}
	}
	for _, t := range s.tasks {
		if done && !t.done || len(t.failedRuns) < len(failed) {
			t.markDirty()
		}
		t.failedRuns = slices.Clone(failed)
		if done {
			t.restoreDone()
		}
	}
}
