package cell

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
)

// HandleReport takes in what a worker answered to a hold order that was sent at
// that time.
func (c *Cell) HandleReport(now, sent time.Time, id string, p rock.Report) {
	w := c.workers[id]
	if w == nil {
		return
	}
	switch p.Refusal {
	case rock.Accepted:
	case rock.RefusedFence:
		c.fenced = true
		return
	case rock.RefusedIdentity:
		c.loseWorker(now, w, "another life answers at its address")
		return
	default:
		w.unresponsive = true
		return
	}
	if !p.WorkerStartedAt.IsZero() && !p.WorkerStartedAt.Equal(w.born) {
		c.handleRestart(w, p)
	}
	w.clock, w.clockAt = p.Clock, now
	w.answeredAt, w.unresponsive, w.maybeRestarted = now, false, false
	if !w.acceptedFence {
		w.acceptedFence = true
		c.addEvent("worker fenced", nil, fmt.Sprintf("worker %s fence %d runs %d ends %d", id, c.settings.Fence, len(p.Running), len(p.Ended)))
	}
	for _, e := range p.Ended {
		if e.Number > w.handledEnd {
			if c.isUnreadJob(e.Task) {
				w.deferredEnds = append(w.deferredEnds, e)
			}
			c.handleEnd(now, w, e)
			w.handledEnd = e.Number
		}
	}
	c.reconcileRuns(now, sent, w, p)
	c.adjustThrottle(now, w)
	if c.dirtySince.IsZero() && !c.flushing {
		w.storedEnd = w.resolvedEnd()
	} else if w.storedEnd < w.resolvedEnd() {
		c.markDirty(now, false)
	}
}

// restartSlack is added to the longest lease for orders that reach a new life after
// its first report, as long as an order may be under way.
const restartSlack = time.Second

// handleRestart forgets what a worker's former life counted. What it ran is missing
// from the report; a run that was confirmed after the report was asked for may
// belong to the new life, and the next report tells.
func (c *Cell) handleRestart(w *worker, p rock.Report) {
	c.addEvent("worker reborn", nil, fmt.Sprintf("worker %s born %v, before %v", w.id(), p.WorkerStartedAt.UnixMilli(), w.born.UnixMilli()))
	w.born, w.handledEnd, w.storedEnd, w.acceptedFence, w.deferredEnds = p.WorkerStartedAt, 0, 0, false, nil
	// Orders that were sent before may have reached the new life. Their ends
	// of the lease are times of the former clock, which the worker cuts.
	w.maxLeaseEnd = min(w.maxLeaseEnd, p.Clock+c.settings.MaxLeaseDuration+restartSlack)
}

// MarkWorkerGone notes that the platform has ended a worker's life.
func (c *Cell) MarkWorkerGone(now time.Time, id, why string) {
	if w := c.workers[id]; w != nil && !w.gone {
		c.loseWorker(now, w, why)
	}
}

// loseWorker notes that the worker's life is over.
func (c *Cell) loseWorker(now time.Time, w *worker, why string) {
	w.gone = true
	for _, r := range w.runs {
		c.loseRun(now, r, why)
	}
	c.addEvent("worker gone", nil, "worker "+w.id()+" "+why)
}

// loseRun notes that a run is over without a listed end.
func (c *Cell) loseRun(now time.Time, r *run, why string) {
	c.addEvent("run lost", r, why)
	if r.task != nil && r.task.current == r {
		r.task.checkpoint = newestCheckpoint(r.checkpoint, r.task.checkpoint)
		r.task.endedAt = now
		r.task.step.job.dirty = true
		c.markDirty(now, false)
	}
	r.worker.removeRun(r)
}

// newestCheckpoint returns the newer of two checkpoints: the one that the last run told,
// if it told one.
func newestCheckpoint(told, before string) string {
	if told != "" {
		return told
	}
	return before
}

// findTask returns the live task with that name, or nil.
func (c *Cell) findTask(name string) *task {
	n, err := works.ParseTaskName(name)
	if err != nil {
		return nil
	}
	j := c.jobs[n.Job]
	if j == nil {
		return nil
	}
	s := j.step(n.Occurrence, n.Step)
	if s == nil || n.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[n.Index]
}

// handleEnd takes in the end of a run.
func (c *Cell) handleEnd(now time.Time, w *worker, e rock.End) {
	r := w.runs[runKey{e.Task, e.Run}]
	t := c.findTask(e.Task)
	if r != nil {
		c.recordRunStats(now, r, e)
		w.removeRun(r)
	}
	if t == nil || t.done {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.endedAt = now
	j := t.step.job
	switch e.Reason {
	case rock.EndDone:
		c.completeTask(now, t)
	case rock.EndFailed:
		t.checkpoint = newestCheckpoint(e.Checkpoint, t.checkpoint)
		c.recordFailure(now, w, t, e)
	default:
		t.checkpoint = newestCheckpoint(e.Checkpoint, t.checkpoint)
		c.addEvent("run ended "+string(e.Reason), &run{key: e.Task, number: e.Run, worker: w, task: t}, "")
	}
	if j.dirty {
		c.markDirty(now, false)
	}
	c.completeIfDone(j)
}

// completeTask notes that a task, or the gang that it is a member of, is done.
func (c *Cell) completeTask(now time.Time, t *task) {
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks
	}
	for _, m := range tasks {
		m.markDone()
		if m.current != nil {
			c.stopRun(m.current, "the task is done")
		}
		m.endedAt = now
	}
}

// recordFailure counts the failure of a run. Tasks that last fail without limit. All
// members of a gang count as one.
func (c *Cell) recordFailure(now time.Time, w *worker, t *task, e rock.End) {
	if t.step.Persistent || slices.Contains(t.failedRuns, e.Run) {
		return
	}
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks
	}
	for _, m := range tasks {
		m.failedRuns = append(m.failedRuns, e.Run)
	}
	t.lastFailedWorker = w.id()
	c.addEvent("run failed", &run{key: e.Task, number: e.Run, worker: w, task: t}, fmt.Sprintf("failure %d of %d", len(t.failedRuns), t.step.job.queue.Attempts))
	j := t.step.job
	j.dirty = true
	if len(t.failedRuns) >= j.queue.Attempts && !j.state.Ended() {
		c.endJob(now, j, works.Failed, fmt.Sprintf("task %s failed %d times, last on worker %s", t.key, len(t.failedRuns), w.id()))
	}
}

// recordRunStats notes how a run went, for estimates and for the worker's health.
func (c *Cell) recordRunStats(now time.Time, r *run, e rock.End) {
	if r.task == nil || r.startedAt.IsZero() {
		return
	}
	s := r.task.step
	switch e.Reason {
	case rock.EndDone:
		took := now.Sub(r.startedAt)
		expected := c.expectedRunTime(s)
		r.worker.slowdown.record(now, float64(took)/float64(max(expected, time.Millisecond)))
		c.runTimeModel(s).record(took, s.Estimate)
		c.outliers.Record(now, r.worker.health, false)
	case rock.EndFailed:
		if len(r.task.failedRuns) == 0 {
			c.outliers.Record(now, r.worker.health, true)
		}
	}
}

// reconcileRuns compares what a worker says is running with what should run.
func (c *Cell) reconcileRuns(now, sent time.Time, w *worker, p rock.Report) {
	there := make(map[runKey]bool, len(p.Running))
	for i := range p.Running {
		row := &p.Running[i]
		key := runKey{row.Task, row.Run}
		there[key] = true
		r := w.runs[key]
		if r == nil {
			c.adoptRun(now, w, row)
			continue
		}
		r.checkpoint = newestCheckpoint(row.Checkpoint, r.checkpoint)
		r.percent, r.metric = row.Percent, row.Metric
		if r.state == starting {
			r.state = running
			r.answeredAt = now
			c.markStarted(now, r)
		}
	}
	if len(p.Ended) >= rock.MaxEnds {
		return // the list is cut, so what is missing may still be listed
	}
	for key, r := range w.runs {
		if !there[key] && !r.answeredAt.IsZero() && r.answeredAt.Before(sent) {
			c.loseRun(now, r, "its worker does not list it")
		}
	}
}

// markStarted notes that a run has started.
func (c *Cell) markStarted(now time.Time, r *run) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	if r.task == nil {
		return
	}
	j := r.task.step.job
	if !j.started {
		j.started = true
		if j.state == works.Queued {
			j.state = works.Running
		}
		j.dirty = true
		c.markDirty(now, false)
	}
}

// adoptRun takes in a run that the cell did not start: a former owner did, or the
// order arrived late. It goes on if its task needs it, and is stopped
// otherwise.
func (c *Cell) adoptRun(now time.Time, w *worker, row *rock.Run) {
	t := c.findTask(row.Task)
	r := &run{key: row.Task, number: row.Run, worker: w, state: running, answeredAt: now, startedAt: now, checkpoint: row.Checkpoint, percent: row.Percent}
	if t != nil {
		r.room = t.step.Reservation()
	}
	if t != nil && !t.done && t.current == nil && !t.step.job.state.Ended() && !slices.Contains(t.failedRuns, row.Run) {
		r.task, t.current = t, r
		t.lastRun = max(t.lastRun, row.Run)
		w.addRun(r)
		c.markStarted(now, r)
		c.addEvent("run adopted", r, "")
		return
	}
	w.addRun(r)
	if !c.isUnreadJob(row.Task) {
		c.stopRun(r, "no live task needs the run")
	}
}

// HandleUnanswered notes that a worker did not answer an order that was sent at that
// time. It is certain unless the entry itself ran late: the answer may have
// come then.
func (c *Cell) HandleUnanswered(now, sent time.Time, id string, certain bool, err error) {
	w := c.workers[id]
	if w == nil || sent.Before(w.answeredAt) {
		return
	}
	w.maybeRestarted = true
	if certain {
		w.unansweredAt = sent
	}
	if w.unresponsive {
		return
	}
	w.unresponsive = true
	c.cancelPlacements(w)
	c.addEvent("worker silent", nil, fmt.Sprintf("worker %s, last answer %v ago: %v", id, now.Sub(w.answeredAt), err))
}

// expireRuns gives up the runs of workers whose lease has passed for certain. The
// runs may have ended well before, so a worker is asked once more after its
// lease has passed.
func (c *Cell) expireRuns(now time.Time) {
	for _, w := range c.workers {
		over := w.unresponsive && w.leaseExpired(w.unansweredAt)
		if !w.acceptedFence {
			over = now.After(w.formerLeaseEnd)
		}
		if !over {
			continue
		}
		for _, r := range w.runs {
			c.loseRun(now, r, fmt.Sprintf("its worker is silent for %v and the lease has passed", now.Sub(w.answeredAt)))
		}
		c.removeIfUnused(now, w)
	}
}
