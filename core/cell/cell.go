package cell

import (
	"fmt"
	"math"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
	"bramleyrock/core/resize"
	"bramleyrock/core/works"
)

// Cell is the state of a cell. It is not safe for concurrent use. Use [New] to
// create one.
type Cell struct {
	settings Settings
	// queues holds the configured queues, and removedQueues those that are no longer
	// configured, as they last were.
	queues        map[string]works.Queue
	removedQueues map[string]works.Queue
	jobs          map[string]*job
	// scheduled holds those of the jobs that have scheduled times.
	scheduled map[string]*job
	workers   map[string]*worker
	outliers  *eject.Detector
	runTimes  map[runTimeKey]*runTimeModel
	// newlyKnown holds the jobs whose queue has become known since the last decision.
	newlyKnown []*job
	// stopRequests holds the runs that are to be stopped.
	stopRequests []*run
	// fenced is true once a worker has refused an order because of a newer owner.
	fenced bool
	// dirtySince is when the oldest unwritten change was made, or zero if
	// there is none. urgent is true if a caller waits for one of the changes,
	// and flushing is true while a batch is being written.
	dirtySince time.Time
	flushing   bool
	urgent     bool
	// endedJobs holds the ended jobs whose outcomes are not in a batch yet.
	endedJobs []*job
	// unstoredRuns holds the placed runs whose worker is not stored yet.
	unstoredRuns []*run
	// endedIDs holds the jobs that are known to have an outcome.
	endedIDs  endedSet
	releasing bool
	// jobsIncomplete is true while jobs of the cell may still be unread.
	jobsIncomplete bool
	// deletedWorkers holds the workers whose rows are to be deleted.
	deletedWorkers []string
	events         []Event
	demand         resize.Demand
	// reports counts the reports of workers.
	reports uint64
	// decisions counts the rankings of jobs; see expiringInterval.
	decisions int
	// placementRound is the number of times that tasks were placed.
	placementRound uint64
	// picker chooses workers while tasks are placed, and is nil otherwise.
	picker *picker
	// shortage holds what no usable worker had room for since then.
	shortage shortage
	// avoided holds the workers on which tasks that have waited for long may be placed,
	// or nil if they were not needed since then, and avoidedShortage what none of them
	// had room for.
	avoided         []*worker
	avoidedShortage shortage
	// hostTotal is the number of hosts of all pools, or 0 if it is not known.
	hostTotal int
	// mostlyFree is true if most of the capacity was free when tasks were last placed.
	mostlyFree bool
	// startsPaused is true while no task is started because the known state of
	// the jobs is too old.
	startsPaused bool
	// pendingAdvice is the number of adviser queries without an answer, and
	// adviceOrders holds the queries that the next call of Decide returns.
	pendingAdvice int
	adviceOrders  []Order
}

// New returns a cell without jobs whose workers are s.FormerWorkers.
func New(s Settings) *Cell {
	c := &Cell{
		settings:      s,
		queues:        map[string]works.Queue{},
		removedQueues: map[string]works.Queue{},
		jobs:          map[string]*job{},
		scheduled:     map[string]*job{},
		workers:       map[string]*worker{},
		outliers:      eject.NewDetector(eject.Settings{}),
		runTimes:      map[runTimeKey]*runTimeModel{},
	}
	for id, until := range s.FormerWorkers {
		c.addFormerWorker(id, until)
	}
	return c
}

// Event is a state change of a cell that the caller logs.
type Event struct {
	// Name identifies the kind of change, such as "run lost".
	Name string
	// Job, Task and Worker identify what has changed. Any of them may be empty.
	Job    string
	Task   string
	Worker string
	// Run is the number of the run, or 0.
	Run int64
	// Detail holds the cause and the values that led to the change.
	Detail string
}

// addEvent records an event about a run, which may be nil.
func (c *Cell) addEvent(name string, r *run, detail string) {
	e := Event{Name: name, Detail: detail}
	if r != nil {
		e.Task, e.Worker, e.Run = r.key, r.worker.id(), r.number
		if r.task != nil {
			e.Job = r.task.step.job.ID
		}
	}
	c.events = append(c.events, e)
}

// TakeEvents returns the events since the last call and clears them.
func (c *Cell) TakeEvents() []Event {
	taken := c.events
	c.events = nil
	return taken
}

// Fenced reports whether a worker has refused an order because it has seen the
// epoch of a newer owner. The caller no longer owns the cell then.
func (c *Cell) Fenced() bool { return c.fenced }

// SetQueues sets the configured queues, and those that are no longer configured, as they last
// were.
func (c *Cell) SetQueues(queues []works.Queue, removed ...works.Queue) {
	clear(c.queues)
	clear(c.removedQueues)
	for _, q := range queues {
		c.queues[q.Name] = q
	}
	for _, q := range removed {
		c.removedQueues[q.Name] = q
	}
	for _, j := range c.jobs {
		c.updateQueue(j)
	}
}

// updateQueue sets the settings of a job's queue again.
func (c *Cell) updateQueue(j *job) {
	was := j.queueKnown
	if c.setQueue(j); j.queueKnown && !was {
		c.newlyKnown = append(c.newlyKnown, j)
	}
}

// setQueue gives a job the settings of its queue. The number of attempts is the one with which the
// job was accepted, whatever the configuration says since. The other settings are those of the
// present configuration, and once the queue is no longer configured those with which the job was
// accepted. A job that was stored without settings then keeps the last ones that this owner has
// seen configured, or gets those of the queue's record.
func (c *Cell) setQueue(j *job) {
	q, ok := c.queues[j.Queue]
	switch {
	case ok:
		j.queueSeen = true
	case j.Settings.Known():
		q = j.Settings.Queue(j.Queue, c.settings.Pool)
	case j.queueSeen:
		return
	default:
		if q, ok = c.removedQueues[j.Queue]; !ok {
			return
		}
	}
	if j.Settings.Known() {
		q.Attempts = j.Settings.Attempts
	}
	j.queue, j.queueKnown = q, true
}

// unknownQueue replaces a queue whose configuration is not known. A task that has failed waits
// until it is, since the number of attempts is not known.
var unknownQueue = works.Queue{Attempts: math.MaxInt, Stretch: 2, Objective: time.Second}

// failExhaustedJobs fails the jobs that have used up their attempts before the number of them was
// known.
func (c *Cell) failExhaustedJobs(now time.Time) {
	for _, j := range c.newlyKnown {
		if c.jobs[j.ID] == j {
			c.failIfAnyExhausted(now, j)
		}
	}
	c.newlyKnown = nil
}

// failIfAnyExhausted fails a job if one of its tasks has used up its attempts.
func (c *Cell) failIfAnyExhausted(now time.Time, j *job) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if !t.done && !s.Persistent {
				c.failIfExhausted(now, t)
			}
		}
	}
}

// AddJob adds an accepted job, whose row has the given version. A job that is
// already known is ignored, but for its attempts. So is a job that has ended: the listing it came
// from may be older than its outcome, or its caller may have submitted it again.
func (c *Cell) AddJob(now time.Time, j works.Job, version uint64) {
	if c.endedIDs.contains(j.ID) {
		return
	}
	if known := c.jobs[j.ID]; known != nil {
		c.mergeSettings(known, j.Settings)
		return
	}
	added := newJob(now, j, unknownQueue, version)
	c.setQueue(added)
	if !added.queueKnown {
		added.queue.Name = j.Queue
		c.events = append(c.events, Event{Name: "queue unknown", Job: j.ID, Detail: fmt.Sprintf("the configuration of queue %q is not known", j.Queue)})
	}
	c.jobs[j.ID] = added
	if j.Spec.Times > 0 {
		c.scheduled[j.ID] = added
	}
	// Jobs from before the takeover are no new arrivals.
	if !added.Spec.Persistent() && version > c.settings.Fence {
		c.demand.AddArrival(now, c.buildRankInput(added).RemainingWork)
	}
}

// mergeSettings adds the settings in another row of a known job, which was submitted several times.
// Its caller may have got the answer about either row, so that the larger number of attempts holds.
func (c *Cell) mergeSettings(j *job, s works.QueueSettings) {
	if s.Attempts > j.Settings.Attempts {
		j.Settings = s
		c.updateQueue(j)
	}
}

// HasJobsOf reports whether the cell has jobs of the queue without a stored outcome.
func (c *Cell) HasJobsOf(queue string) bool {
	for _, j := range c.jobs {
		if j.Queue == queue {
			return true
		}
	}
	return false
}

// AddProgress restores the stored rows of progress of a job that was added before.
func (c *Cell) AddProgress(now time.Time, id string, rows ...works.Progress) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for t, worker := range j.restore(rows) {
		c.expectFormerRun(now, t, worker)
	}
	if j.dirty.count() > 0 {
		c.markDirty(now, false)
	}
	c.failIfAnyExhausted(now, j)
	c.completeIfDone(now, j)
}

// Cancel ends a job that its caller has cancelled. It has no effect on a job
// that is unknown or has ended.
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

// endJob sets the job's final state and stops its runs.
func (c *Cell) endJob(now time.Time, j *job, s works.State, reason string) {
	j.state, j.endedAt = s, now
	c.endedJobs = append(c.endedJobs, j)
	c.markDirty(now, true)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.current != nil {
				c.stopRun(t.current, reason)
			}
		}
	}
	c.events = append(c.events, Event{Name: "job " + string(s), Job: j.ID, Detail: reason})
}

// markDirty records that there are changes to write. urgent shortens the time
// until they are written.
func (c *Cell) markDirty(now time.Time, urgent bool) {
	if c.dirtySince.IsZero() {
		c.dirtySince = now
	}
	c.urgent = c.urgent || urgent
}

// completeIfDone ends a job whose tasks are all done.
func (c *Cell) completeIfDone(now time.Time, j *job) {
	if j.remaining == 0 && !j.state.Ended() {
		c.endJob(now, j, works.Completed, "all tasks are done")
	}
}

// stopRun cancels a run whose start was not ordered, and requests the stop of
// any other run.
func (c *Cell) stopRun(r *run, reason string) {
	if r.state == stopping {
		return
	}
	if r.state == placed {
		c.cancelPlacement(r)
		return
	}
	r.state, r.stopReason = stopping, reason
	r.orderedAt, r.answeredAt = time.Time{}, time.Time{}
	c.stopRequests = append(c.stopRequests, r)
}

// newWorker adds a worker of which only the ID is known. If the deletion of its
// row is pending, that deletion is cancelled.
func (c *Cell) newWorker(id string) *worker {
	c.deletedWorkers = slices.DeleteFunc(c.deletedWorkers, func(d string) bool { return d == id })
	w := &worker{Worker: rock.Worker{ID: id}, runs: map[runKey]*run{}, health: c.outliers.Track(id)}
	c.workers[id] = w
	return w
}

// cancelPlacements cancels the worker's runs whose starts were not ordered.
func (c *Cell) cancelPlacements(w *worker) {
	for _, r := range w.runs {
		if r.state == placed {
			c.cancelPlacement(r)
			c.stopGang(r)
		}
	}
}

// cancelPlacement cancels a run whose start was not ordered.
func (c *Cell) cancelPlacement(r *run) {
	r.worker.removeRun(r)
	if r.task != nil {
		r.task.markDirty()
	}
}

// goneClockSlack is more than the error of the owner's estimate of a worker's clock.
const goneClockSlack = time.Second

// SetWorkers sets the registered workers. Workers of other pools are ignored. A worker
// that has registered since it was taken for gone is not gone.
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
			w.clock, w.clockAt, w.incarnationStart, w.answeredAt = s.Clock, s.ReadAt, s.StartedAt, now
			w.goneClock = s.Clock
			w.rack = rackOf(s.Labels)
		}
		if w.State != s.State && w.Address != "" {
			c.events = append(c.events, Event{Name: "worker " + string(s.State), Worker: s.ID})
			if s.State != rock.WorkerReady {
				c.cancelPlacements(w)
			}
		}
		switch {
		case !w.gone:
		case w.isNextIncarnation(s):
			w.gone, w.incarnationStart, w.handledEnd, w.storedEnd, w.deferredEnds = false, s.StartedAt, 0, 0, nil
			w.clock, w.clockAt, w.maxLeaseEnd, w.dates = s.Clock, s.ReadAt, 0, reportDates{}
		case s.StartedAt.Equal(w.incarnationStart) && s.Clock > w.goneClock+goneClockSlack:
			c.events = append(c.events, Event{Name: "worker not gone", Worker: s.ID, Detail: fmt.Sprintf("it has registered at %v on its clock", s.Clock)})
			w.gone, w.unresponsive, w.maybeRestarted = false, true, true // until it reports
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

// isNextIncarnation reports whether the registration is one of a later incarnation of the
// worker than the last known one. Its start time may be earlier, because the time of day
// of its host was set back, but then the former registration had another one.
func (w *worker) isNextIncarnation(s rock.Worker) bool {
	return s.StartedAt.After(w.incarnationStart) || !s.StartedAt.Equal(w.incarnationStart) && !s.StartedAt.Equal(w.StartedAt)
}

// removeIfUnused removes a worker that is no longer registered, has no runs, and
// can hold no orders of a former owner. While jobs may be unread, it may have runs of
// them, and ends that are not handled yet.
func (c *Cell) removeIfUnused(now time.Time, w *worker) {
	if c.jobsIncomplete || w.registered || len(w.runs) > 0 || !w.gone && !w.acceptedFence && !now.After(w.formerLeaseEnd) {
		return
	}
	delete(c.workers, w.id())
	c.outliers.Forget(w.id())
	if w.hasRow {
		c.deletedWorkers = append(c.deletedWorkers, w.id())
		c.markDirty(now, false)
	}
}

// rackOf returns the label with the name of the rack, which is the last one, or
// "" if there is only the first label, the kind of host.
func rackOf(labels []string) string {
	if len(labels) > 1 {
		return labels[len(labels)-1]
	}
	return ""
}

// Workers returns the workers whose leases are to be renewed, by ID.
func (c *Cell) Workers() map[string]rock.Worker {
	all := make(map[string]rock.Worker, len(c.workers))
	for id, w := range c.workers {
		if !w.gone && w.Address != "" {
			all[id] = w.Worker
		}
	}
	return all
}

// HasUnstoredEnds reports whether a worker has listed ends that are not stored
// yet. Until all ends are acknowledged, the worker answers renewals at once
// instead of waiting.
func (c *Cell) HasUnstoredEnds(id string) bool {
	w := c.workers[id]
	return w != nil && w.storedEnd < w.resolvedEnd()
}

// HoldOrder returns a worker and the next order to renew its lease, whose answer
// may wait at the worker for the given time. It returns false if no such orders
// are to be sent to the worker any more. The order does not extend the lease of an
// unresponsive worker, so that it expires.
func (c *Cell) HoldOrder(now time.Time, id string, wait time.Duration) (rock.Worker, rock.RenewOrder, bool) {
	w := c.workers[id]
	if w == nil || w.gone || w.Address == "" {
		return rock.Worker{}, rock.RenewOrder{}, false
	}
	o := rock.RenewOrder{Fence: c.settings.Fence, AckedUpTo: w.storedEnd, Wait: wait}
	if w.hasUnansweredStart() {
		o.Wait = min(wait, unansweredWait)
	}
	if w.maybeRestarted {
		o.AckedUpTo, o.Wait = 0, 0
	}
	if w.acceptedFence && !w.unresponsive && !w.leaseEndStored {
		o.LeaseUntil = w.extendLease(now, c.settings.LeaseDuration)
	}
	return w.Worker, o, true
}
