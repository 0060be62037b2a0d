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
		c.vanish(now, w, "another life answers at its address")
		return
	default:
		w.silent = true
		return
	}
	if !p.WorkerStartedAt.IsZero() && !p.WorkerStartedAt.Equal(w.born) {
		c.reborn(w, p)
	}
	w.clock, w.clockAt = p.Clock, now
	w.answeredAt, w.silent, w.unsure = now, false, false
	if !w.fenced {
		w.fenced = true
		c.note("worker fenced", nil, fmt.Sprintf("worker %s fence %d runs %d ends %d", id, c.settings.Fence, len(p.Running), len(p.Ended)))
	}
	for _, e := range p.Ended {
		if e.Number > w.handled {
			if c.unread(e.Task) {
				w.withheld = append(w.withheld, e)
			}
			c.take(now, w, e)
			w.handled = e.Number
		}
	}
	c.compare(now, sent, w, p)
	c.steer(now, w)
	if c.dirtySince.IsZero() && !c.flushing {
		w.stored = w.settled()
	} else if w.stored < w.settled() {
		c.touch(now, false)
	}
}

// reborns is added to the longest lease for orders that reach a new life after
// its first report, as long as an order may be under way.
const reborns = time.Second

// reborn forgets what a worker's former life counted. What it ran is missing
// from the report; a run that was confirmed after the report was asked for may
// belong to the new life, and the next report tells.
func (c *Cell) reborn(w *worker, p rock.Report) {
	c.note("worker reborn", nil, fmt.Sprintf("worker %s born %v, before %v", w.id(), p.WorkerStartedAt.UnixMilli(), w.born.UnixMilli()))
	w.born, w.handled, w.stored, w.fenced, w.withheld = p.WorkerStartedAt, 0, 0, false, nil
	// Orders that were sent before may have reached the new life. Their ends
	// of the lease are times of the former clock, which the worker cuts.
	w.maxUntil = min(w.maxUntil, p.Clock+c.settings.MaxLeaseDuration+reborns)
}

// MarkWorkerGone notes that the platform has ended a worker's life.
func (c *Cell) MarkWorkerGone(now time.Time, id, why string) {
	if w := c.workers[id]; w != nil && !w.gone {
		c.vanish(now, w, why)
	}
}

// vanish notes that the worker's life is over.
func (c *Cell) vanish(now time.Time, w *worker, why string) {
	w.gone = true
	for _, r := range w.runs {
		c.lose(now, r, why)
	}
	c.note("worker gone", nil, "worker "+w.id()+" "+why)
}

// lose notes that a run is over without a listed end.
func (c *Cell) lose(now time.Time, r *run, why string) {
	c.note("run lost", r, why)
	if r.task != nil && r.task.current == r {
		r.task.checkpoint = newest(r.checkpoint, r.task.checkpoint)
		r.task.endedAt = now
		r.task.step.job.dirty = true
		c.touch(now, false)
	}
	r.worker.remove(r)
}

// newest returns the newer of two checkpoints: the one that the last run told,
// if it told one.
func newest(told, before string) string {
	if told != "" {
		return told
	}
	return before
}

// lookup returns the live task with that name, or nil.
func (c *Cell) lookup(name string) *task {
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

// take takes in the end of a run.
func (c *Cell) take(now time.Time, w *worker, e rock.End) {
	r := w.runs[runKey{e.Task, e.Run}]
	t := c.lookup(e.Task)
	if r != nil {
		c.learn(now, r, e)
		w.remove(r)
	}
	if t == nil || t.done {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.endedAt = now
	j := t.step.job
	switch e.Reason {
	case rock.EndDone:
		c.done(now, t)
	case rock.EndFailed:
		t.checkpoint = newest(e.Checkpoint, t.checkpoint)
		c.failed(now, w, t, e)
	default:
		t.checkpoint = newest(e.Checkpoint, t.checkpoint)
		c.note("run ended "+string(e.Reason), &run{key: e.Task, number: e.Run, worker: w, task: t}, "")
	}
	if j.dirty {
		c.touch(now, false)
	}
	c.settleJob(j)
}

// done notes that a task, or the gang that it is a member of, is done.
func (c *Cell) done(now time.Time, t *task) {
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks
	}
	for _, m := range tasks {
		m.finish()
		if m.current != nil {
			c.stop(m.current, "the task is done")
		}
		m.endedAt = now
	}
}

// failed counts the failure of a run. Tasks that last fail without limit. All
// members of a gang count as one.
func (c *Cell) failed(now time.Time, w *worker, t *task, e rock.End) {
	if t.step.Persistent || slices.Contains(t.failed, e.Run) {
		return
	}
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks
	}
	for _, m := range tasks {
		m.failed = append(m.failed, e.Run)
	}
	t.failedOn = w.id()
	c.note("run failed", &run{key: e.Task, number: e.Run, worker: w, task: t}, fmt.Sprintf("failure %d of %d", len(t.failed), t.step.job.queue.Attempts))
	j := t.step.job
	j.dirty = true
	if len(t.failed) >= j.queue.Attempts && !j.state.Ended() {
		c.endJob(now, j, works.Failed, fmt.Sprintf("task %s failed %d times, last on worker %s", t.key, len(t.failed), w.id()))
	}
}

// learn notes how a run went, for estimates and for the worker's health.
func (c *Cell) learn(now time.Time, r *run, e rock.End) {
	if r.task == nil || r.startedAt.IsZero() {
		return
	}
	s := r.task.step
	switch e.Reason {
	case rock.EndDone:
		took := now.Sub(r.startedAt)
		expected := c.expect(s)
		r.worker.pace.note(now, float64(took)/float64(max(expected, time.Millisecond)))
		c.timesOf(s).note(took, s.Estimate)
		c.watch.Record(now, r.worker.health, false)
	case rock.EndFailed:
		if len(r.task.failed) == 0 {
			c.watch.Record(now, r.worker.health, true)
		}
	}
}

// compare compares what a worker says is running with what should run.
func (c *Cell) compare(now, sent time.Time, w *worker, p rock.Report) {
	there := make(map[runKey]bool, len(p.Running))
	for i := range p.Running {
		row := &p.Running[i]
		key := runKey{row.Task, row.Run}
		there[key] = true
		r := w.runs[key]
		if r == nil {
			c.adopt(now, w, row)
			continue
		}
		r.checkpoint = newest(row.Checkpoint, r.checkpoint)
		r.percent, r.figure = row.Percent, row.Metric
		if r.state == starting {
			r.state = running
			r.answeredAt = now
			c.begin(now, r)
		}
	}
	if len(p.Ended) >= rock.MaxEnds {
		return // the list is cut, so what is missing may still be listed
	}
	for key, r := range w.runs {
		if !there[key] && !r.answeredAt.IsZero() && r.answeredAt.Before(sent) {
			c.lose(now, r, "its worker does not list it")
		}
	}
}

// begin notes that a run has started.
func (c *Cell) begin(now time.Time, r *run) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	if r.task == nil {
		return
	}
	j := r.task.step.job
	if !j.begun {
		j.begun = true
		if j.state == works.Queued {
			j.state = works.Running
		}
		j.dirty = true
		c.touch(now, false)
	}
}

// adopt takes in a run that the cell did not start: a former owner did, or the
// order arrived late. It goes on if its task needs it, and is stopped
// otherwise.
func (c *Cell) adopt(now time.Time, w *worker, row *rock.Run) {
	t := c.lookup(row.Task)
	r := &run{key: row.Task, number: row.Run, worker: w, state: running, answeredAt: now, startedAt: now, checkpoint: row.Checkpoint, percent: row.Percent}
	if t != nil {
		r.room = t.step.Reservation()
	}
	if t != nil && !t.done && t.current == nil && !t.step.job.state.Ended() && !slices.Contains(t.failed, row.Run) {
		r.task, t.current = t, r
		t.lastRun = max(t.lastRun, row.Run)
		w.add(r)
		c.begin(now, r)
		c.note("run adopted", r, "")
		return
	}
	w.add(r)
	if !c.unread(row.Task) {
		c.stop(r, "no live task needs the run")
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
	w.unsure = true
	if certain {
		w.unansweredAt = sent
	}
	if w.silent {
		return
	}
	w.silent = true
	c.unplaceAll(w)
	c.note("worker silent", nil, fmt.Sprintf("worker %s, last answer %v ago: %v", id, now.Sub(w.answeredAt), err))
}

// expire gives up the runs of workers whose lease has passed for certain. The
// runs may have ended well before, so a worker is asked once more after its
// lease has passed.
func (c *Cell) expire(now time.Time) {
	for _, w := range c.workers {
		over := w.silent && w.lapsed(w.unansweredAt)
		if !w.fenced {
			over = now.After(w.formerUntil)
		}
		if !over {
			continue
		}
		for _, r := range w.runs {
			c.lose(now, r, fmt.Sprintf("its worker is silent for %v and the lease has passed", now.Sub(w.answeredAt)))
		}
		c.drop(now, w)
	}
}
