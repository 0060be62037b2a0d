package cell

import (
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
	"bramleyrock/core/resize"
	"bramleyrock/core/works"
)

// Cell is the state of a cell. It is not safe for concurrent use.
type Cell struct {
	settings Settings
	queues   map[string]works.Queue
	jobs     map[string]*job
	workers  map[string]*worker
	outliers *eject.Detector
	runTimes map[runTimeKey]*runTimeModel
	// stopRequests are stops of runs that belong to no live task.
	stopRequests []*run
	fenced       bool
	// dirtySince is since when something waits to be written, urgent whether
	// a caller waits to see it, and flushing whether a batch is on its way.
	dirtySince time.Time
	flushing   bool
	urgent     bool
	endedJobs  []*job
	// unstoredRuns holds the runs whose place is not stored yet.
	unstoredRuns []*run
	endedIDs     endedSet
	releasing    bool
	// jobsIncomplete is true while there may be jobs that are not known yet.
	jobsIncomplete bool
	// deletedWorkers lists workers whose rows are to be deleted.
	deletedWorkers []string
	events         []Event
	demand         resize.Demand
	// decisions counts the decisions.
	decisions int
	// startsPaused is true while nothing is started because the changes of jobs were
	// not heard.
	startsPaused bool
	// pendingAdvice is the number of questions to the adviser that are under way,
	// asks those that are to be asked.
	pendingAdvice int
	adviceOrders  []Order
}

// New returns a cell that knows nothing yet.
func New(s Settings) *Cell {
	c := &Cell{
		settings: s,
		queues:   map[string]works.Queue{},
		jobs:     map[string]*job{},
		workers:  map[string]*worker{},
		outliers: eject.NewDetector(eject.Settings{}),
		runTimes: map[runTimeKey]*runTimeModel{},
	}
	for id, until := range s.FormerWorkers {
		c.addFormerWorker(id, until)
	}
	return c
}

// Event is a change of what the cell believes, for the log.
type Event struct {
	// Name names the change, such as "run lost".
	Name string
	// Job, Task and Worker name what it is about; some may be empty.
	Job    string
	Task   string
	Worker string
	// Run is the number of the run, or 0.
	Run int64
	// Detail gives the inputs that decided.
	Detail string
}

func (c *Cell) addEvent(what string, r *run, detail string) {
	n := Event{Name: what, Detail: detail}
	if r != nil {
		n.Task, n.Worker, n.Run = r.key, r.worker.id(), r.number
		if r.task != nil {
			n.Job = r.task.step.job.ID
		}
	}
	c.events = append(c.events, n)
}

// TakeEvents returns the changes of belief since the last call.
func (c *Cell) TakeEvents() []Event {
	n := c.events
	c.events = nil
	return n
}

// Fenced reports whether a worker refused an order because it has seen a
// newer owner.
func (c *Cell) Fenced() bool { return c.fenced }

// SetQueues puts the configured queues in force. Jobs keep the queue that
// they were accepted with if it is no longer configured.
func (c *Cell) SetQueues(queues []works.Queue) {
	clear(c.queues)
	for _, q := range queues {
		c.queues[q.Name] = q
	}
	for _, j := range c.jobs {
		if q, ok := c.queues[j.Queue]; ok {
			j.queue = q
		}
	}
}

// defaultQueue stands for a queue that is not configured any more. It gives
// its tasks the fewest attempts of the sheets.
var defaultQueue = works.Queue{Attempts: 2, Stretch: 2, Objective: time.Second}

// AddJob adds an accepted job whose row has that version. A job that is known
// is ignored, also after it has ended: a listing may be older than the write that
// ended it, and a caller may hand the job in again.
func (c *Cell) AddJob(now time.Time, j works.Job, version uint64) {
	if c.jobs[j.ID] != nil || c.endedIDs.contains(j.ID) {
		return
	}
	q, ok := c.queues[j.Queue]
	if !ok {
		q = defaultQueue
		q.Name = j.Queue
	}
	l := newJob(now, j, q, version)
	c.jobs[j.ID] = l
	if !l.Spec.Persistent() && version > c.settings.Fence {
		c.demand.AddArrival(now, c.buildRankInput(l).RemainingWork)
	}
}

// AddProgress puts the stored progress of a job in force.
func (c *Cell) AddProgress(now time.Time, id string, p works.Progress) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for t, worker := range j.restore(p) {
		c.expectFormerRun(now, t, worker)
	}
	c.completeIfDone(j)
}

// Cancel ends a job at its caller's wish.
func (c *Cell) Cancel(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	j.hasCancelRow = true
	if !j.state.Ended() {
		c.endJob(now, j, works.Cancelled, "cancelled by the caller")
	}
}

// endJob gives the job its final state and stops what still runs.
func (c *Cell) endJob(now time.Time, j *job, s works.State, why string) {
	j.state = s
	c.endedJobs = append(c.endedJobs, j)
	c.markDirty(now, true)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.current != nil {
				c.stopRun(t.current, why)
			}
		}
	}
	c.events = append(c.events, Event{Name: "job " + string(s), Job: j.ID, Detail: why})
}

// markDirty notes that something waits to be written.
func (c *Cell) markDirty(now time.Time, urgent bool) {
	if c.dirtySince.IsZero() {
		c.dirtySince = now
	}
	c.urgent = c.urgent || urgent
}

// completeIfDone ends a job whose tasks are all done.
func (c *Cell) completeIfDone(j *job) {
	if j.remaining == 0 && !j.state.Ended() {
		c.endJob(j.addedAt, j, works.Completed, "all tasks are done")
	}
}

// stopRun asks for the end of a run.
func (c *Cell) stopRun(r *run, why string) {
	if r.state == stopping {
		return
	}
	if r.state == placed {
		c.cancelPlacement(r) // its start was not ordered
		return
	}
	r.state, r.stopReason = stopping, why
	r.orderedAt, r.answeredAt = time.Time{}, time.Time{}
	c.stopRequests = append(c.stopRequests, r)
}

// newWorker adds a worker of which only the id is known. If it was dropped a while
// ago, its row is written anew in place of being deleted.
func (c *Cell) newWorker(id string) *worker {
	c.deletedWorkers = slices.DeleteFunc(c.deletedWorkers, func(d string) bool { return d == id })
	w := &worker{Worker: rock.Worker{ID: id}, runs: map[runKey]*run{}, health: c.outliers.Track(id)}
	c.workers[id] = w
	return w
}

// cancelPlacements takes the runs back whose starts were not ordered from a worker.
func (c *Cell) cancelPlacements(w *worker) {
	for _, r := range w.runs {
		if r.state == placed {
			c.cancelPlacement(r)
		}
	}
}

// cancelPlacement takes a run back whose start was not ordered.
func (c *Cell) cancelPlacement(r *run) {
	r.worker.removeRun(r)
	if r.task != nil {
		r.task.step.job.dirty = true
	}
}

// SetWorkers tells which workers of the pool are registered.
func (c *Cell) SetWorkers(now time.Time, list []rock.Worker) {
	listed := map[string]bool{}
	for _, s := range list {
		if s.Pool != c.settings.Pool {
			continue
		}
		listed[s.ID] = true
		w := c.workers[s.ID]
		if w == nil {
			w = c.newWorker(s.ID)
		}
		if w.Address == "" {
			w.clock, w.clockAt, w.born, w.answeredAt = s.Clock, s.ReadAt, s.StartedAt, now
			w.rack = rackOf(s.Labels)
		}
		if w.State != s.State && w.Address != "" {
			c.events = append(c.events, Event{Name: "worker " + string(s.State), Worker: s.ID})
		}
		if w.gone && s.StartedAt.After(w.born) {
			w.gone, w.born, w.handledEnd, w.storedEnd, w.deferredEnds = false, s.StartedAt, 0, 0, nil
			w.clock, w.clockAt, w.maxLeaseEnd = s.Clock, s.ReadAt, 0
		}
		w.Worker, w.registered = s, true
	}
	for id, w := range c.workers {
		if listed[id] {
			continue
		}
		w.registered = false
		c.removeIfUnused(now, w)
	}
}

// removeIfUnused forgets a worker that is not registered any more and runs nothing.
func (c *Cell) removeIfUnused(now time.Time, w *worker) {
	if w.registered || len(w.runs) > 0 || !w.gone && !w.acceptedFence && !now.After(w.formerLeaseEnd) {
		return
	}
	delete(c.workers, w.id())
	c.outliers.Forget(w.id())
	if w.hasRow {
		c.deletedWorkers = append(c.deletedWorkers, w.id())
		c.markDirty(now, false)
	}
}

// rackOf returns the label that names the rack; the kind comes first.
func rackOf(labels []string) string {
	if len(labels) > 1 {
		return labels[len(labels)-1]
	}
	return ""
}

// Workers returns the workers that are to be asked for reports, by id.
func (c *Cell) Workers() map[string]rock.Worker {
	all := make(map[string]rock.Worker, len(c.workers))
	for id, w := range c.workers {
		if !w.gone && w.Address != "" {
			all[id] = w.Worker
		}
	}
	return all
}

// HasUnstoredEnds reports whether a worker listed ends that are not stored yet. It
// answers hold orders at once until it is told that they are.
func (c *Cell) HasUnstoredEnds(id string) bool {
	w := c.workers[id]
	return w != nil && w.storedEnd < w.resolvedEnd()
}

// RenewOrder returns the next order to hold for a worker, and false if the
// worker is not to be asked any more. The lease of a worker that has not
// answered is not extended, so that it passes.
func (c *Cell) HoldOrder(now time.Time, id string, wait time.Duration) (rock.Worker, rock.RenewOrder, bool) {
	w := c.workers[id]
	if w == nil || w.gone || w.Address == "" {
		return rock.Worker{}, rock.RenewOrder{}, false
	}
	h := rock.RenewOrder{Fence: c.settings.Fence, AckedUpTo: w.storedEnd, Wait: wait}
	if w.maybeRestarted {
		h.AckedUpTo, h.Wait = 0, 0
	}
	if w.acceptedFence && !w.unresponsive && !w.leaseEndStored {
		h.LeaseUntil = w.extendLease(now, c.settings.LeaseDuration)
	}
	return w.Worker, h, true
}
