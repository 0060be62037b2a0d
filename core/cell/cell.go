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
	watch    *eject.Detector
	times    map[timeKey]*runTime
	// orphans are stops of runs that belong to no live task.
	orphans []*run
	fenced  bool
	// dirtySince is since when something waits to be written, urgent whether
	// a caller waits to see it, and flushing whether a batch is on its way.
	dirtySince time.Time
	flushing   bool
	urgent     bool
	ended      []*job
	// placed holds the runs whose place is not stored yet.
	placed  []*run
	over    memory
	leaving bool
	// partial is true while there may be jobs that are not known yet.
	partial bool
	// dropped lists workers whose rows are to be deleted.
	dropped []string
	notes   []Event
	demand  resize.Demand
	// turns counts the decisions.
	turns int
	// deaf is true while nothing is started because the changes of jobs were
	// not heard.
	deaf bool
	// questions is the number of questions to the adviser that are under way,
	// asks those that are to be asked.
	questions int
	asks      []Order
}

// New returns a cell that knows nothing yet.
func New(s Settings) *Cell {
	c := &Cell{
		settings: s,
		queues:   map[string]works.Queue{},
		jobs:     map[string]*job{},
		workers:  map[string]*worker{},
		watch:    eject.NewDetector(eject.Settings{}),
		times:    map[timeKey]*runTime{},
	}
	for id, until := range s.FormerWorkers {
		c.addFormer(id, until)
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

func (c *Cell) note(what string, r *run, detail string) {
	n := Event{Name: what, Detail: detail}
	if r != nil {
		n.Task, n.Worker, n.Run = r.key, r.worker.id(), r.number
		if r.task != nil {
			n.Job = r.task.step.job.ID
		}
	}
	c.notes = append(c.notes, n)
}

// TakeEvents returns the changes of belief since the last call.
func (c *Cell) TakeEvents() []Event {
	n := c.notes
	c.notes = nil
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
	if c.jobs[j.ID] != nil || c.over.has(j.ID) {
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
		c.demand.AddArrival(now, c.work(l).RemainingWork)
	}
}

// AddProgress puts the stored progress of a job in force.
func (c *Cell) AddProgress(now time.Time, id string, p works.Progress) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for t, worker := range j.restore(p) {
		c.expectRun(now, t, worker)
	}
	c.settleJob(j)
}

// Cancel ends a job at its caller's wish.
func (c *Cell) Cancel(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	j.cancel = true
	if !j.state.Ended() {
		c.endJob(now, j, works.Cancelled, "cancelled by the caller")
	}
}

// endJob gives the job its final state and stops what still runs.
func (c *Cell) endJob(now time.Time, j *job, s works.State, why string) {
	j.state = s
	c.ended = append(c.ended, j)
	c.touch(now, true)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.current != nil {
				c.stop(t.current, why)
			}
		}
	}
	c.notes = append(c.notes, Event{Name: "job " + string(s), Job: j.ID, Detail: why})
}

// touch notes that something waits to be written.
func (c *Cell) touch(now time.Time, urgent bool) {
	if c.dirtySince.IsZero() {
		c.dirtySince = now
	}
	c.urgent = c.urgent || urgent
}

// settleJob ends a job whose tasks are all done.
func (c *Cell) settleJob(j *job) {
	if j.left == 0 && !j.state.Ended() {
		c.endJob(j.arrival, j, works.Completed, "all tasks are done")
	}
}

// stop asks for the end of a run.
func (c *Cell) stop(r *run, why string) {
	if r.state == stopping {
		return
	}
	if r.state == placed {
		c.unplace(r) // its start was not ordered
		return
	}
	r.state, r.why = stopping, why
	r.orderedAt, r.answeredAt = time.Time{}, time.Time{}
	c.orphans = append(c.orphans, r)
}

// newWorker adds a worker of which only the id is known. If it was dropped a while
// ago, its row is written anew in place of being deleted.
func (c *Cell) newWorker(id string) *worker {
	c.dropped = slices.DeleteFunc(c.dropped, func(d string) bool { return d == id })
	w := &worker{Worker: rock.Worker{ID: id}, runs: map[runKey]*run{}, health: c.watch.Track(id)}
	c.workers[id] = w
	return w
}

// unplaceAll takes the runs back whose starts were not ordered from a worker.
func (c *Cell) unplaceAll(w *worker) {
	for _, r := range w.runs {
		if r.state == placed {
			c.unplace(r)
		}
	}
}

// unplace takes a run back whose start was not ordered.
func (c *Cell) unplace(r *run) {
	r.worker.remove(r)
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
			c.notes = append(c.notes, Event{Name: "worker " + string(s.State), Worker: s.ID})
		}
		if w.gone && s.StartedAt.After(w.born) {
			w.gone, w.born, w.handled, w.stored, w.withheld = false, s.StartedAt, 0, 0, nil
			w.clock, w.clockAt, w.maxUntil = s.Clock, s.ReadAt, 0
		}
		w.Worker, w.listed = s, true
	}
	for id, w := range c.workers {
		if listed[id] {
			continue
		}
		w.listed = false
		c.drop(now, w)
	}
}

// drop forgets a worker that is not registered any more and runs nothing.
func (c *Cell) drop(now time.Time, w *worker) {
	if w.listed || len(w.runs) > 0 || !w.gone && !w.fenced && !now.After(w.formerUntil) {
		return
	}
	delete(c.workers, w.id())
	c.watch.Forget(w.id())
	if w.recorded {
		c.dropped = append(c.dropped, w.id())
		c.touch(now, false)
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
	return w != nil && w.stored < w.settled()
}

// HoldOrder returns the next order to hold for a worker, and false if the
// worker is not to be asked any more. The lease of a worker that has not
// answered is not extended, so that it passes.
func (c *Cell) HoldOrder(now time.Time, id string, wait time.Duration) (rock.Worker, rock.RenewOrder, bool) {
	w := c.workers[id]
	if w == nil || w.gone || w.Address == "" {
		return rock.Worker{}, rock.RenewOrder{}, false
	}
	h := rock.RenewOrder{Fence: c.settings.Fence, AckedUpTo: w.stored, Wait: wait}
	if w.unsure {
		h.AckedUpTo, h.Wait = 0, 0
	}
	if w.fenced && !w.silent && !w.boundStored {
		h.LeaseUntil = w.until(now, c.settings.LeaseDuration)
	}
	return w.Worker, h, true
}
