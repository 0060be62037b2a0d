package cell

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/rank"
)

// Decide places waiting tasks and returns the orders to send now. All changes of
// jobs up to jobsKnownAt have been passed to the cell. If that is more than 2.5 s
// ago, no task is placed or started, because its job may have been cancelled since.
func (c *Cell) Decide(now, jobsKnownAt time.Time) []Order {
	c.updateOccurrences(now)
	c.failExhaustedJobs(now)
	c.expireRuns(now)
	c.evacuate(now)
	c.markPendingRows(now)
	fresh := c.checkJobChangeAge(now, jobsKnownAt)
	orders := c.pendingOrders(now, fresh)
	if fresh {
		c.placeTasks(now)
	}
	orders = append(orders, c.adviceOrders...)
	c.adviceOrders = nil
	return orders
}

// checkJobChangeAge reports whether the known state of the jobs is recent enough
// to start tasks, and records an event when that changes.
func (c *Cell) checkJobChangeAge(now, jobsKnownAt time.Time) bool {
	fresh := now.Sub(jobsKnownAt) <= maxJobChangeAge
	if fresh == c.startsPaused {
		c.startsPaused = !fresh
		name := "starts stopped"
		if fresh {
			name = "starts resumed"
		}
		c.addEvent(name, nil, fmt.Sprintf("changes of jobs were last received %v ago", now.Sub(jobsKnownAt)))
	}
	return fresh
}

// pendingOrders returns the orders to stop and throttle runs and, if mayStart is
// true, to start the runs whose workers are stored. Orders that were not confirmed
// are returned again after a while, but for starts on workers that the platform drains
// meanwhile: their runs are stopped, because a copy of the start may still arrive.
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
			case r.inFlight || !mayStart || w.leaseEndStored: // a start extends the lease
			case r.state == placed && r.placeStored:
				r.state = starting
				orders = append(orders, c.startOrder(now, r))
			case r.state != starting || now.Sub(r.orderedAt) < resendInterval || !w.acceptedFence || !r.answeredAt.IsZero():
			case w.State != rock.WorkerReady:
				c.stopRun(r, "its worker is being drained and has not confirmed the start")
				c.stopGang(r)
			default:
				orders = append(orders, c.startOrder(now, r))
			}
		}
	}
	return orders
}

// stopOrder returns the order to stop a run.
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

// startOrder returns the order to start a run, with a lease that starts now.
func (c *Cell) startOrder(now time.Time, r *run) Order {
	r.orderedAt, r.inFlight = now, true
	r.startLeaseEnd = r.worker.extendLease(now, c.settings.LeaseDuration)
	j := r.task.step.job
	return Order{
		Kind: OrderStart, Worker: r.worker.Worker, run: r, Job: j.ID, Queue: j.Queue,
		Start: rock.StartOrder{
			Task: r.key, Run: r.number, Payload: j.Spec.Payload, LeaseUntil: r.startLeaseEnd,
			Fence: c.settings.Fence, Checkpoint: r.task.checkpoint, Ticket: r.task.step.advice.tickets[r.worker.id()],
		},
	}
}

// candidate is a job with tasks that may be placed, and its rank.
type candidate struct {
	job  *job
	rank rank.Rank
}

// candidateHeap holds candidates, the one with the best rank first. A decision in a surge
// takes only a few of them.
type candidateHeap []candidate

// Len implements [heap.Interface].
func (h candidateHeap) Len() int { return len(h) }

// Less implements [heap.Interface].
func (h candidateHeap) Less(i, j int) bool {
	if n := h[i].rank.Compare(h[j].rank); n != 0 {
		return n < 0
	}
	return h[i].job.ID < h[j].job.ID
}

// Swap implements [heap.Interface].
func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements [heap.Interface].
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements [heap.Interface].
func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// waitingJobs describes the jobs with tasks that may be placed.
type waitingJobs struct {
	jobs []*job
	// least is the least that any of the tasks needs of each resource.
	least rock.Resources
	// special is true if there are tasks for which more is done than to look for a worker
	// with room: persistent ones and those that need a ticket.
	special bool
}

// waitingJobs returns the jobs with tasks that may be placed.
func (c *Cell) waitingJobs(now time.Time) waitingJobs {
	w := waitingJobs{least: rock.Resources{MilliCores: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}}
	for _, j := range c.jobs {
		if j.state.Ended() {
			continue
		}
		waits := false
		for _, s := range j.steps {
			if !s.hasWaitingTask(now) {
				continue
			}
			waits = true
			need := s.Reservation()
			w.least.MilliCores = min(w.least.MilliCores, need.MilliCores)
			w.least.MemoryMB = min(w.least.MemoryMB, need.MemoryMB)
			w.least.Accelerators = min(w.least.Accelerators, need.Accelerators)
			w.special = w.special || s.Persistent || j.queue.RequiresTicket
		}
		if waits {
			w.jobs = append(w.jobs, j)
		}
	}
	return w
}

// rankJobs returns the jobs with their ranks.
func (c *Cell) rankJobs(now time.Time, jobs []*job) candidateHeap {
	var load rank.Load
	for _, j := range jobs {
		load.Add(now, c.currentRankInput(now, j))
	}
	c.decisions++
	params := rank.Params{Margin: load.Margin(c.usableCores(now)), ExpiringFirst: c.decisions%expiringInterval == 0}
	list := make(candidateHeap, len(jobs))
	for i, j := range jobs {
		list[i] = candidate{j, rank.Of(now, c.currentRankInput(now, j), params)}
	}
	heap.Init(&list)
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

// hasWaitingTask reports whether a task of the step waits to be placed.
func (s *step) hasWaitingTask(now time.Time) bool {
	return s.remaining > 0 && s.mayStart(now) && slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && t.current == nil })
}

// rankInputMaxAge is how long the input for a job's rank is cached. The estimates
// in it change slowly.
const rankInputMaxAge = 400 * time.Millisecond

// currentRankInput returns the input for the job's rank, from the cache if it is
// recent.
func (c *Cell) currentRankInput(now time.Time, j *job) rank.Job {
	if j.rankInputAt.IsZero() || now.Sub(j.rankInputAt) > rankInputMaxAge {
		j.rankInput, j.rankInputAt = c.buildRankInput(j), now
	}
	input := j.rankInput
	input.Started = j.started || j.placed
	return input
}

// buildRankInput returns the input for the job's rank.
func (c *Cell) buildRankInput(j *job) rank.Job {
	chain := c.criticalPath(j)
	w := rank.Job{
		Accepted: j.Accepted, Priority: j.queue.Priority, RemainingPath: chain,
		Persistent: j.Spec.Persistent(),
		Objective:  j.queue.Objective, Stretch: j.queue.Stretch,
	}
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i, s := range j.firstSteps() {
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

// nextStartTime returns the scheduled time of the first occurrence that is not
// done.
func (j *job) nextStartTime() time.Time {
	for _, s := range j.steps {
		if s.remaining > 0 {
			return j.Spec.ScheduledAt(s.occurrence)
		}
	}
	if next := j.occurrences.next; next < j.Spec.Occurrences() {
		return j.Spec.ScheduledAt(next)
	}
	return j.Accepted
}

// placeTasks places as many tasks as there are free resources for. Their starts
// are ordered once the placements are stored.
func (c *Cell) placeTasks(now time.Time) {
	c.placementRound++
	c.shortage, c.avoidedShortage, c.avoided = c.shortage[:0], c.avoidedShortage[:0], nil
	c.updateMostlyFree()
	usable := c.usable(now)
	if len(usable) == 0 && len(c.closingWorkers(now)) == 0 {
		return
	}
	waiting := c.waitingJobs(now)
	special := waiting.special || c.mostlyFree // tasks may then be placed on avoided workers, too
	hasRoom := func() bool {
		return slices.ContainsFunc(usable, func(w *worker) bool { return w.freeResources().CanFit(waiting.least) })
	}
	if !special && !hasRoom() {
		return
	}
	c.picker = newPicker(c, now, usable)
	defer func() { c.picker = nil }()
	for ranked := c.rankJobs(now, waiting.jobs); len(ranked) > 0; {
		next := heap.Pop(&ranked).(candidate)
		if c.picker.exhausted && !special {
			if !hasRoom() {
				return
			}
			c.picker.exhausted = false
		}
		for _, s := range next.job.steps {
			if s.remaining == 0 || !s.mayStart(now) || !c.ensureAdvice(now, s, usable) {
				continue
			}
			switch {
			case s.Persistent:
				c.placePersistent(now, s, usable)
			case s.Gang:
				c.placeGang(now, s, usable)
			default:
				c.placeStep(now, s, usable)
			}
		}
	}
}

// usable returns the workers that may be given new tasks and have at least
// minFreeResources, sorted by ID.
func (c *Cell) usable(now time.Time) []*worker {
	var list []*worker
	for _, w := range c.workers {
		if w.usable(now) && w.freeResources().CanFit(minFreeResources) {
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

// minFreeResources is the least amount of free resources with which a worker is
// considered. It is less than any task in the users' specifications needs.
var minFreeResources = rock.Resources{MilliCores: 100, MemoryMB: 1}

// placePersistent places the waiting tasks of a persistent step. If there is no worker for
// one of them, a worker that can make room for it is reserved.
func (c *Cell) placePersistent(now time.Time, s *step, usable []*worker) {
	for _, t := range s.tasks {
		if t.done || t.current != nil || !c.mayRestart(now, t) {
			continue
		}
		w := c.chooseUsable(now, t, usable)
		if w == nil {
			w = c.chooseAvoided(now, t)
		}
		if w != nil {
			c.placeRun(now, t, w, c.nextRunNumber(t))
			continue
		}
		c.reserveWorker(now, s, usable)
		return
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// placeStep places the step's waiting tasks until there is no worker for one.
func (c *Cell) placeStep(now time.Time, s *step, usable []*worker) {
	for _, t := range s.tasks {
		if t.done || t.current != nil || !c.mayRestart(now, t) {
			continue
		}
		w := c.chooseUsable(now, t, usable)
		if w == nil {
			w = c.chooseAvoided(now, t)
		}
		switch {
		case w != nil:
			c.placeRun(now, t, w, c.nextRunNumber(t))
		case len(t.failedRuns) == 0:
			return // a task that has failed may be placed on fewer workers than others
		}
	}
}

// restartDelay is the time before a persistent task that ended is placed again, so
// that one which fails at once does not keep its workers busy with starts.
const restartDelay = 100 * time.Millisecond

// mayRestart reports whether the task's restart delay is over and its attempts are known.
func (c *Cell) mayRestart(now time.Time, t *task) bool {
	if t.awaitsQueue() {
		return false
	}
	return !t.step.Persistent || t.endedAt.IsZero() || now.Sub(t.endedAt) >= restartDelay
}

// nextRunNumber returns the number of the task's next run, which is greater than
// those of all runs by this owner and by former ones.
func (c *Cell) nextRunNumber(t *task) int64 {
	return max(t.lastRun+1, int64(c.settings.Fence)*runsPerFence)
}

// placeRun places a run of the task on the worker, to be stored and then started.
func (c *Cell) placeRun(now time.Time, t *task, w *worker, number int64) {
	r := newRun(t, w, number)
	w.addRun(r)
	c.markPlaced(now, r)
}

// newRun returns a run of the task that is placed on the worker.
func newRun(t *task, w *worker, number int64) *run {
	return &run{key: t.key, number: number, task: t, worker: w, resources: t.step.Reservation(), state: placed}
}

// markPlaced makes a run the current one of its task, to be stored and then started.
func (c *Cell) markPlaced(now time.Time, r *run) {
	t := r.task
	t.lastRun, t.current = r.number, r
	t.step.job.placed = true
	t.markDirty()
	c.unstoredRuns = append(c.unstoredRuns, r)
	c.markDirty(now, true)
}

// placeGang places all tasks of a gang with the same run number and checkpoint, or
// none of them.
func (c *Cell) placeGang(now time.Time, s *step, usable []*worker) {
	var number int64
	for _, t := range s.tasks {
		if t.current != nil || t.awaitsQueue() {
			return // the previous run of the gang is not over yet, or it may not run again
		}
		number = max(number, c.nextRunNumber(t))
	}
	need := s.Reservation()
	runs := make([]*run, 0, len(s.tasks))
	known := len(c.avoidedShortage)
	for _, t := range s.tasks {
		w := c.cheapestWorker(now, t, usable, func(w *worker) bool { return c.mayPlace(now, s, need, w) })
		if w == nil {
			w = c.chooseAvoided(now, t)
		}
		if w == nil {
			for _, r := range runs {
				r.worker.removeRun(r)
			}
			// Workers have more room again than was found beside these runs.
			c.picker = newPicker(c, now, c.picker.usable)
			c.avoided, c.avoidedShortage = nil, c.avoidedShortage[:known]
			return
		}
		r := newRun(t, w, number)
		w.addRun(r)
		runs = append(runs, r)
	}
	saved := gangCheckpoint(s)
	for _, r := range runs {
		r.task.checkpoint = saved
		c.markPlaced(now, r)
	}
}

// gangCheckpoint returns the checkpoint of the first task that has one, or "".
func gangCheckpoint(s *step) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// chooseWorker returns the worker with the least cost among those that may run the
// task, whether they are reserved or not, or nil if there is none.
func (c *Cell) chooseWorker(now time.Time, t *task, usable []*worker) *worker {
	need := t.step.Reservation()
	return c.cheapestWorker(now, t, usable, func(w *worker) bool { return c.mayRun(now, t.step, need, w) })
}

// cheapestWorker returns the worker with the least cost among those that match, or nil
// if there is none.
func (c *Cell) cheapestWorker(now time.Time, t *task, workers []*worker, match func(*worker) bool) *worker {
	var best *worker
	var bestCost float64
	for _, w := range workers {
		if !match(w) {
			continue
		}
		cost := c.placementCost(now, t, w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// noSlotLimit is more than the number of runs of any worker, so that only the
// resources and the health of a worker limit that number.
const noSlotLimit = 1 << 16

// placementCost returns the cost of running a task on a worker: the expected
// slowdown, plus penalties for the worker's load and for failures of the task.
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
	return cost + w.loadCost()
}

// loadCost returns the additional cost of a worker for the tasks that it runs.
func (w *worker) loadCost() float64 {
	if w.Capacity.MilliCores <= 0 {
		return 0
	}
	return loadPenalty * float64(w.used.MilliCores) / float64(w.Capacity.MilliCores)
}

// packingCost returns 0 if the worker runs a persistent task, and 1 otherwise. It
// packs such tasks onto few hosts, so that the other hosts can be taken down or
// moved.
func (c *Cell) packingCost(w *worker) float64 {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.Persistent {
			return 0
		}
	}
	return 1
}

// bestEffortPenalty is the additional cost of a worker that runs tasks with a
// latency target, for a best-effort task.
const bestEffortPenalty = 1.0

// hasLatencyTarget reports whether a task with a latency target, other than a
// best-effort task, runs on the worker.
func (w *worker) hasLatencyTarget() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.LatencyTarget > 0 && !r.task.step.BestEffort {
			return true
		}
	}
	return false
}

// loadPenalty is the additional cost of a full worker over an empty one. It is
// small against slowdowns, so that it only orders workers of similar speed.
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
