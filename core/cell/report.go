package cell

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
)

// HandleReport handles a worker's report, its answer to a renewal that was sent at
// the given time. The report may arrive after the worker is known to be gone. Its ends
// still count then, but none of the runs that it lists goes on. A worker that refuses
// the renewal for a reason of its own counts as not having answered.
func (c *Cell) HandleReport(now, sent time.Time, id string, report rock.Report) {
	w := c.workers[id]
	if w == nil {
		return
	}
	switch report.Refusal {
	case rock.Accepted:
	case rock.RefusedFence:
		c.fenced = true
		return
	case rock.RefusedIdentity:
		c.handleOtherIdentity(now, sent, w)
		return
	default:
		c.HandleUnanswered(now, sent, id, true, fmt.Errorf("renewal refused: %s", report.Refusal))
		return
	}
	if !report.WorkerStartedAt.IsZero() && !report.WorkerStartedAt.Equal(w.incarnationStart) {
		if w.gone {
			return // the next incarnation counts from its registration on
		}
		c.handleRestart(w, report)
	}
	made := w.dates.date(now, sent, report.Clock)
	w.clock, w.clockAt = report.Clock, now
	w.answeredAt, w.unresponsive, w.maybeRestarted = made, false, false
	if !w.acceptedFence {
		w.acceptedFence = true
		c.addEvent("worker fenced", nil, fmt.Sprintf("worker %s fence %d runs %d ends %d", id, c.settings.Fence, len(report.Running), len(report.Ended)))
	}
	for _, e := range report.Ended {
		if e.Number > w.handledEnd {
			if c.isUnreadJob(e.Task) {
				w.deferredEnds = append(w.deferredEnds, e)
			}
			c.handleEnd(now, w, e)
			w.handledEnd = e.Number
		}
	}
	if !w.gone {
		c.reconcileRuns(now, sent, made, w, report)
		c.adjustThrottle(now, w)
	}
	if c.dirtySince.IsZero() && !c.flushing {
		w.storedEnd = w.resolvedEnd()
	} else if w.storedEnd < w.resolvedEnd() {
		c.markDirty(now, false)
	}
}

// restartSlack is the longest time that an order may take to arrive. It is added to
// the longest lease for orders that reach a new incarnation of a worker after its
// first report.
const restartSlack = time.Second

// handleRestart resets the state that belongs to a worker's former incarnation. Its
// runs are missing from the report and are lost by reconcileRuns, except those that
// were confirmed after the report was requested: they may belong to the new
// incarnation, and the next report decides.
func (c *Cell) handleRestart(w *worker, report rock.Report) {
	c.addEvent("worker reborn", nil, fmt.Sprintf("worker %s started at %v ms, before at %v ms", w.id(), report.WorkerStartedAt.UnixMilli(), w.incarnationStart.UnixMilli()))
	w.incarnationStart, w.handledEnd, w.storedEnd, w.acceptedFence, w.deferredEnds, w.dates = report.WorkerStartedAt, 0, 0, false, nil, reportDates{}
	// Orders that were sent earlier may have reached the new incarnation. Their
	// lease ends are times of the former clock, and the worker limits them to its
	// longest lease.
	latest := report.Clock + c.settings.MaxLeaseDuration + restartSlack
	w.maxLeaseEnd = min(w.maxLeaseEnd, latest)
	for _, r := range w.runs {
		r.startLeaseEnd = min(r.startLeaseEnd, latest)
	}
}

// MarkWorkerGone records that the current incarnation of a worker is over, for
// example because its host was taken down.
func (c *Cell) MarkWorkerGone(now time.Time, id, reason string) {
	if w := c.workers[id]; w != nil && !w.gone {
		c.loseWorker(now, w, reason)
	}
}

// handleOtherIdentity handles the refusal of an order, sent at the given time, because
// another worker or incarnation is at the address. A worker that has reported since then
// has come back or has another address, and the next renewal tells.
func (c *Cell) handleOtherIdentity(now, sent time.Time, w *worker) {
	if sent.Before(w.answeredAt) {
		return
	}
	c.loseWorker(now, w, "another incarnation answers at its address")
}

// loseWorker records that the worker's incarnation is over, and its runs with it.
func (c *Cell) loseWorker(now time.Time, w *worker, reason string) {
	w.gone, w.goneClock = true, w.clock+now.Sub(w.clockAt)
	for _, r := range w.runs {
		c.loseRun(now, r, reason)
	}
	c.addEvent("worker gone", nil, "worker "+w.id()+" "+reason)
}

// loseRun records that a run is over although the worker has not listed its end.
func (c *Cell) loseRun(now time.Time, r *run, reason string) {
	c.addEvent("run lost", r, reason)
	if r.task != nil && r.task.current == r {
		r.task.checkpoint = newestCheckpoint(r.checkpoint, r.task.checkpoint)
		r.task.endedAt = now
		r.task.markDirty()
		c.markDirty(now, false)
	}
	r.worker.removeRun(r)
}

// newestCheckpoint returns the checkpoint that the last run reported, or the former
// one if it reported none.
func newestCheckpoint(reported, former string) string {
	if reported != "" {
		return reported
	}
	return former
}

// findTask returns the task with that name, or nil if the cell has none.
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

// handleEnd handles the end of a run that the worker listed.
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
	switch {
	case e.Reason == rock.EndDone && !t.step.Persistent: // persistent tasks run again however they end
		c.completeTask(now, t)
	case e.Reason == rock.EndFailed:
		t.checkpoint = newestCheckpoint(e.Checkpoint, t.checkpoint)
		c.recordFailure(now, w, t, e)
	default:
		t.checkpoint = newestCheckpoint(e.Checkpoint, t.checkpoint)
		c.addEvent("run ended "+string(e.Reason), &run{key: e.Task, number: e.Run, worker: w, task: t}, "")
	}
	if j.dirty.count() > 0 {
		c.markDirty(now, false)
	}
	c.completeIfDone(now, j)
}

// completeTask records that a task is done. If it belongs to a gang, all tasks of
// the gang are done.
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

// recordFailure counts the failure of a run, and fails the job once the task has
// used up its attempts. Persistent tasks may fail without limit. In a gang, a
// failure counts for every task.
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
		m.markDirty()
	}
	t.lastFailedWorker = w.id()
	c.addEvent("run failed", &run{key: e.Task, number: e.Run, worker: w, task: t}, fmt.Sprintf("failure %d of %d", len(t.failedRuns), t.step.job.queue.Attempts))
	c.failIfExhausted(now, t)
}

// failIfExhausted fails the job of a task that has used up its attempts.
func (c *Cell) failIfExhausted(now time.Time, t *task) {
	j := t.step.job
	if len(t.failedRuns) >= j.queue.Attempts && !j.state.Ended() {
		c.endJob(now, j, works.Failed, fmt.Sprintf("task %s failed %d times, last on worker %q", t.key, len(t.failedRuns), t.lastFailedWorker))
	}
}

// recordRunStats updates the run time model, and the slowdown and health of the
// worker, when a run has ended.
func (c *Cell) recordRunStats(now time.Time, r *run, e rock.End) {
	if r.task == nil || r.startedAt.IsZero() {
		return
	}
	s := r.task.step
	switch e.Reason {
	case rock.EndDone:
		if !s.Persistent {
			runTime := now.Sub(r.startedAt)
			expected := c.expectedRunTime(s)
			r.worker.slowdown.record(now, float64(runTime)/float64(max(expected, time.Millisecond)))
			c.runTimeModel(s).record(runTime, s.Estimate)
		}
		c.outliers.Record(now, r.worker.health, false)
	case rock.EndFailed:
		if len(r.task.failedRuns) == 0 {
			c.outliers.Record(now, r.worker.health, true)
		}
	}
}

// reconcileRuns updates the worker's runs from the runs that its report lists. It
// adopts unknown runs, and loses runs that are not listed and were confirmed before the
// report was requested, or can start no more. The report was requested and made at the
// given times.
func (c *Cell) reconcileRuns(now, sent, made time.Time, w *worker, report rock.Report) {
	c.reports++
	for i := range report.Running {
		reported := &report.Running[i]
		key := runKey{reported.Task, reported.Run}
		r := w.runs[key]
		if r == nil {
			c.adoptRun(now, made, w, reported)
			continue
		}
		r.listedIn = c.reports
		r.checkpoint = newestCheckpoint(reported.Checkpoint, r.checkpoint)
		r.percent, r.metric = reported.Percent, reported.Metric
		if r.state != stopping {
			r.confirmedAt = made
		}
		if r.state == starting {
			r.state = running
			r.answeredAt = made
			c.markStarted(now, r)
		}
	}
	if len(report.Ended) >= rock.MaxEnds {
		return // the list of ends is truncated: the missing runs may be in the rest
	}
	for _, r := range w.runs {
		switch {
		case r.listedIn == c.reports:
		case !r.answeredAt.IsZero() && r.answeredAt.Before(sent):
			c.loseRun(now, r, "its worker does not list it")
		case r.startExpired(report.Clock):
			c.loseRun(now, r, "its worker does not list it and refuses late copies of its start")
		}
	}
}

// markStarted records that a run, and thereby its job, has started.
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
		r.task.markDirty()
		c.markDirty(now, false)
	}
}

// adoptRun adds a run that the cell does not know: a former owner started it, or
// the order to start it arrived late. The run is stopped unless its task needs it or
// its job may still be unread.
func (c *Cell) adoptRun(now, made time.Time, w *worker, reported *rock.Run) {
	t := c.findTask(reported.Task)
	r := &run{key: reported.Task, number: reported.Run, worker: w, state: running, answeredAt: made, startedAt: now, confirmedAt: made, checkpoint: reported.Checkpoint, percent: reported.Percent, listedIn: c.reports}
	if t != nil {
		r.resources = t.step.Reservation()
	}
	if t != nil && !t.done && t.current == nil && !t.step.job.state.Ended() && !slices.Contains(t.failedRuns, reported.Run) {
		r.task, t.current = t, r
		t.lastRun = max(t.lastRun, reported.Run)
		w.addRun(r)
		c.markStarted(now, r)
		t.markDirty() // the next owner must know where the task runs
		c.markDirty(now, false)
		c.addEvent("run adopted", r, "")
		return
	}
	w.addRun(r)
	if !c.isUnreadJob(reported.Task) {
		c.stopRun(r, "no live task needs the run")
	}
}

// HandleUnanswered records that an order to a worker, sent at the given time, had
// no answer because of err. It has no effect if the worker has reported since then.
// certain is false if this process ran late meanwhile and may have missed the answer.
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

// expireRuns loses the runs of the workers whose runs are certainly over.
func (c *Cell) expireRuns(now time.Time) {
	for _, w := range c.workers {
		reason, over := w.runsOver(now)
		if !over {
			continue
		}
		for _, r := range w.runs {
			c.loseRun(now, r, reason)
		}
		c.removeIfUnused(now, w)
	}
}
