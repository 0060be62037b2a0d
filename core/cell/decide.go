package cell

import (
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/rank"
)

// Decide returns the orders to give now, and finds places for tasks that wait.
// Every change of the jobs up to the time heard was taken in. If that is too
// long ago nothing is started, since a job may have been cancelled meanwhile.
func (c *Cell) Decide(now, heard time.Time) []Order {
	c.expireRuns(now)
	c.evacuate(now)
	c.markPendingRows(now)
	fresh := c.checkJobChangeAge(now, heard)
	orders := c.pendingOrders(now, fresh)
	if fresh {
		c.placeTasks(now)
	}
	orders = append(orders, c.adviceOrders...)
	c.adviceOrders = nil
	return orders
}

// checkJobChangeAge reports whether the changes of jobs were heard recently.
func (c *Cell) checkJobChangeAge(now, heard time.Time) bool {
	fresh := now.Sub(heard) <= maxJobChangeAge
	if fresh == c.startsPaused {
		c.startsPaused = !fresh
		what := "starts stopped"
		if fresh {
			what = "starts resumed"
		}
		c.addEvent(what, nil, fmt.Sprintf("changes of jobs were last heard %v ago", now.Sub(heard)))
	}
	return fresh
}

// pendingOrders returns the stops, the starts whose place is stored if tasks may be
// started, and unanswered orders again.
func (c *Cell) pendingOrders(now time.Time, mayStart bool) []Order {
	var orders []Order
	c.stopRequests = slices.DeleteFunc(c.stopRequests, func(r *run) bool { return r.worker.runs[r.id()] != r })
	for _, r := range c.stopRequests {
		if r.inFlight || now.Sub(r.orderedAt) < resendInterval || r.worker.unresponsive {
			continue
		}
		if !r.answeredAt.IsZero() && now.Sub(r.orderedAt) < c.settings.MaxStopDuration+resendInterval {
			continue
		}
		orders = append(orders, c.stopOrder(now, r))
	}
	for _, w := range c.workers {
		if w.unresponsive || w.gone {
			continue
		}
		orders = c.throttleOrders(now, w, orders)
		for _, r := range w.runs {
			switch {
			case r.inFlight || !mayStart:
			case r.state == placed && r.placeStored:
				r.state = starting
				orders = append(orders, c.startOrder(now, r))
			case r.state == starting && now.Sub(r.orderedAt) >= resendInterval && w.acceptedFence && r.answeredAt.IsZero():
				orders = append(orders, c.startOrder(now, r))
			}
		}
	}
	return orders
}

func (c *Cell) stopOrder(now time.Time, r *run) Order {
	r.orderedAt, r.inFlight = now, true
	o := Order{
		Kind: OrderStop, Worker: r.worker.Worker, Reason: r.stopReason, run: r,
		Stop: rock.StopOrder{Task: r.key, Run: r.number, Fence: c.settings.Fence},
	}
	if r.task != nil {
		o.Job, o.Queue = r.task.step.job.ID, r.task.step.job.Queue
	}
	return o
}

func (c *Cell) startOrder(now time.Time, r *run) Order {
	r.orderedAt, r.inFlight = now, true
	j := r.task.step.job
	return Order{
		Kind: OrderStart, Worker: r.worker.Worker, run: r, Job: j.ID, Queue: j.Queue,
		Start: rock.StartOrder{
			Task: r.key, Run: r.number, Payload: j.Spec.Payload, LeaseUntil: r.worker.extendLease(now, c.settings.LeaseDuration),
			Fence: c.settings.Fence, Checkpoint: r.task.checkpoint, Ticket: r.task.step.advice.tickets[r.worker.id()],
		},
	}
}

// candidate is a job with tasks that may start, and its rank.
type candidate struct {
	job  *job
	rank rank.Rank
}

// candidates returns the jobs with tasks that may start, best first.
func (c *Cell) candidates(now time.Time) []candidate {
	var list []candidate
	var load rank.Load
	for _, j := range c.jobs {
		if j.state.Ended() || !j.hasWaitingTask(now) {
			continue
		}
		list = append(list, candidate{job: j})
		load.Add(now, c.currentRankInput(now, j))
	}
	c.decisions++
	t := rank.Params{Margin: load.Margin(c.usableCores(now)), ExpiringFirst: c.decisions%expiringInterval == 0}
	for i := range list {
		list[i].rank = rank.Of(now, c.currentRankInput(now, list[i].job), t)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if n := a.rank.Compare(b.rank); n != 0 {
			return n
		}
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	})
	return list
}

// usableCores returns the number of cores of the usable workers.
func (c *Cell) usableCores(now time.Time) float64 {
	n := 0.0
	for _, w := range c.workers {
		if w.usable(now) {
			n += float64(w.Capacity.MilliCores) / 1000
		}
	}
	return n
}

// hasWaitingTask reports whether a task of the job waits to be started.
func (j *job) hasWaitingTask(now time.Time) bool {
	for _, s := range j.steps {
		if s.remaining == 0 || !s.mayStart(now) {
			continue
		}
		for _, t := range s.tasks {
			if !t.done && t.current == nil {
				return true
			}
		}
	}
	return false
}

// rankInputMaxAge is how long a job's description holds: the estimates behind it
// change slowly.
const rankInputMaxAge = 400 * time.Millisecond

// currentRankInput returns the job's description for its rank.
func (c *Cell) currentRankInput(now time.Time, j *job) rank.Job {
	if j.rankInputAt.IsZero() || now.Sub(j.rankInputAt) > rankInputMaxAge {
		j.rankInput, j.rankInputAt = c.buildRankInput(j), now
	}
	w := j.rankInput
	w.Started = j.started || j.placed
	return w
}

// buildRankInput describes the job for its rank.
func (c *Cell) buildRankInput(j *job) rank.Job {
	chain := c.criticalPath(j)
	w := rank.Job{
		Accepted: j.Accepted, Priority: j.queue.Priority, RemainingPath: chain,
		Persistent: j.Spec.Persistent(),
		Objective:  j.queue.Objective, Stretch: j.queue.Stretch,
	}
	n := len(j.Spec.Steps)
	ends := make([]time.Duration, n)
	for i, s := range j.steps[:n] {
		var before time.Duration
		for _, a := range s.DependsOn {
			before = max(before, ends[a])
		}
		e := c.expectedRunTime(s)
		ends[i] = before + e
		w.CriticalPath = max(w.CriticalPath, ends[i])
		w.RemainingWork += float64(s.remaining) * float64(s.Need.MilliCores) / 1000 * e.Seconds()
	}
	if j.Spec.Times > 0 {
		w.Accepted = j.nextStartTime()
	}
	return w
}

// nextStartTime returns when the first occurrence that is not done was due.
func (j *job) nextStartTime() time.Time {
	n := len(j.Spec.Steps)
	for i, s := range j.steps {
		if s.remaining > 0 {
			return j.Spec.ScheduledAt(i / n)
		}
	}
	return j.Accepted
}

// placeTasks finds places for as many tasks as there is room for. Their starts are
// ordered once the places are stored.
func (c *Cell) placeTasks(now time.Time) {
	usable := c.usable(now)
	if len(usable) == 0 {
		return
	}
	for _, k := range c.candidates(now) {
		for _, s := range k.job.steps {
			if s.remaining == 0 || !s.mayStart(now) || !c.ensureAdvice(now, s, usable) {
				continue
			}
			switch {
			case s.Persistent:
				usable = c.placePersistent(now, s, usable)
			case s.Gang:
				c.placeGang(now, s, usable)
			default:
				c.placeStep(now, s, usable)
			}
		}
	}
}

// usable returns the workers that may be given new work and have room for
// some.
func (c *Cell) usable(now time.Time) []*worker {
	var list []*worker
	for _, w := range c.workers {
		if w.usable(now) && w.freeRoom().CanFit(minRoom) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int {
		if a.id() < b.id() {
			return -1
		}
		return 1
	})
	return list
}

// minRoom is the least room with which a worker is considered: less than any
// task of the sheets needs.
var minRoom = rock.Resources{MilliCores: 100, MemoryMB: 1}

// closingWorkerDelay is how long a lasting task waits for a worker that stays
// before one that is to be emptied is good enough, a fraction of the 3 s for
// which it may be away.
const closingWorkerDelay = 1200 * time.Millisecond

// placePersistent places the tasks of a step that lasts. While one of them finds
// no room, the worker with the most room is kept free of other tasks, because
// smaller ones would take whatever becomes free there. It returns the workers
// that are left for others.
func (c *Cell) placePersistent(now time.Time, s *step, usable []*worker) []*worker {
	for _, t := range s.tasks {
		if t.done || t.current != nil || !c.mayRestart(now, t) {
			continue
		}
		w := c.chooseWorker(now, t, usable)
		if w == nil && now.Sub(later(t.endedAt, s.job.addedAt)) > closingWorkerDelay {
			w = c.chooseWorker(now, t, c.closingWorkers(now))
		}
		if w != nil {
			c.placeRun(now, t, w, c.nextRunNumber(t))
			continue
		}
		return c.reserveWorker(s, usable)
	}
	return usable
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closingWorkers returns the workers that are to be emptied.
func (c *Cell) closingWorkers(now time.Time) []*worker {
	var list []*worker
	for _, w := range c.workers {
		if w.closing && w.reachable(now) {
			list = append(list, w)
		}
	}
	return list
}

// reserveWorker returns the workers without the one that has the most room among
// those that could run the step.
func (c *Cell) reserveWorker(s *step, usable []*worker) []*worker {
	best := -1
	for i, w := range usable {
		if !w.hasLabel(s.Label) || s.MaxPerWorker > 0 && c.countStepRuns(w, s) >= s.MaxPerWorker {
			continue
		}
		if best < 0 || w.freeRoom().MilliCores > usable[best].freeRoom().MilliCores {
			best = i
		}
	}
	if best < 0 {
		return usable
	}
	return slices.Delete(slices.Clone(usable), best, best+1)
}

// placeStep places the step's waiting tasks where there is room.
func (c *Cell) placeStep(now time.Time, s *step, usable []*worker) {
	for _, t := range s.tasks {
		if t.done || t.current != nil || !c.mayRestart(now, t) {
			continue
		}
		w := c.chooseWorker(now, t, usable)
		if w == nil {
			return
		}
		c.placeRun(now, t, w, c.nextRunNumber(t))
	}
}

// restartDelay is the time before a lasting task that ended is started again,
// so that one which fails at once does not take up the worker's time.
const restartDelay = 100 * time.Millisecond

func (c *Cell) mayRestart(now time.Time, t *task) bool {
	return !t.step.Persistent || t.endedAt.IsZero() || now.Sub(t.endedAt) >= restartDelay
}

// nextRunNumber returns the number of the task's next run: above all of this owner
// and of all former ones.
func (c *Cell) nextRunNumber(t *task) int64 {
	return max(t.lastRun+1, int64(c.settings.Fence)*runsPerFence)
}

// placeRun places a run of the task on the worker.
func (c *Cell) placeRun(now time.Time, t *task, w *worker, number int64) {
	t.lastRun = number
	r := &run{key: t.key, number: number, task: t, worker: w, room: t.step.Reservation(), state: placed}
	t.current = r
	w.addRun(r)
	t.step.job.dirty, t.step.job.placed = true, true
	c.unstoredRuns = append(c.unstoredRuns, r)
	c.markDirty(now, true)
}

// placeGang places all members of a gang at once, or none.
func (c *Cell) placeGang(now time.Time, s *step, usable []*worker) {
	var number int64
	for _, t := range s.tasks {
		if t.current != nil {
			return // members of the last run are not gone yet
		}
		number = max(number, c.nextRunNumber(t))
	}
	chosen := make([]*worker, 0, len(s.tasks))
	for _, t := range s.tasks {
		w := c.chooseWorker(now, t, usable)
		if w == nil {
			break
		}
		w.used = w.used.Add(s.Reservation())
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		w.used = w.used.Sub(s.Reservation())
	}
	if len(chosen) < len(s.tasks) {
		return
	}
	saved := gangCheckpoint(s)
	for i, t := range s.tasks {
		t.checkpoint = saved
		c.placeRun(now, t, chosen[i], number)
	}
}

// gangCheckpoint returns a saved state of the gang's last run.
func gangCheckpoint(s *step) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// chooseWorker returns the best worker for a task, or nil.
func (c *Cell) chooseWorker(now time.Time, t *task, usable []*worker) *worker {
	s := t.step
	need := s.Reservation()
	var best *worker
	var bestCost float64
	for _, w := range usable {
		if !w.freeRoom().CanFit(need) || !w.hasLabel(s.Label) || now.Before(w.backoffUntil) {
			continue
		}
		if w.health.TaskLimit(now, noSlotLimit) <= len(w.runs) {
			continue
		}
		if s.MaxPerWorker > 0 && c.countStepRuns(w, s) >= s.MaxPerWorker {
			continue
		}
		if s.job.queue.RequiresTicket && s.advice.tickets[w.id()] == "" {
			continue
		}
		cost := c.placementCost(now, t, w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// noSlotLimit is more than a worker ever runs, so that only the room and the
// health of a worker limit it.
const noSlotLimit = 1 << 16

// placementCost returns how bad a worker is for a task: its expected slowdown, and its
// load.
func (c *Cell) placementCost(now time.Time, t *task, w *worker) float64 {
	cost := w.slowdown.value(now)
	if t.step.Rack != "" && w.rack != t.step.Rack {
		cost *= max(1, c.settings.RemoteSlowdown)
	}
	if w.id() == t.lastFailedWorker {
		cost++
	}
	if t.step.BestEffort && w.hasLatencyTarget() {
		cost += bestEffortPenalty
	}
	if t.step.Persistent {
		return cost + c.packingCost(w)
	}
	if w.Capacity.MilliCores > 0 {
		cost += loadPenalty * float64(w.used.MilliCores) / float64(w.Capacity.MilliCores)
	}
	return cost
}

// packingCost returns the cost of a worker for a task that lasts: such tasks share
// few hosts, so that the others can be taken down or moved.
func (c *Cell) packingCost(w *worker) float64 {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.Persistent {
			return 0
		}
	}
	return 1
}

// bestEffortPenalty is the cost of a worker with serving tasks for one that fills.
const bestEffortPenalty = 1.0

// hasLatencyTarget reports whether a task with a target for its response times runs on
// the worker.
func (w *worker) hasLatencyTarget() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.LatencyTarget > 0 && !r.task.step.BestEffort {
			return true
		}
	}
	return false
}

// loadPenalty is the cost of a full worker against an empty one, in units of
// the slowdown: it only orders workers of about the same speed.
const loadPenalty = 0.3

// countStepRuns returns the number of the step's runs on a worker.
func (c *Cell) countStepRuns(w *worker, s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	return n
}
