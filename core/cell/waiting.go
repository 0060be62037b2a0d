package cell

import (
	"cmp"
	"slices"
	"time"

	rock "bramleyrock"
)

// WaitCause is what a task waits for.
type WaitCause string

// The causes.
const (
	// WaitStartsPaused means that the known state of the jobs is too old to start tasks.
	WaitStartsPaused WaitCause = "starts paused"
	// WaitQueueConfig means that a task that has failed waits until it is known how often tasks
	// of its queue may fail.
	WaitQueueConfig WaitCause = "queue configuration"
	// WaitUsableWorker means that no worker may be given any new tasks.
	WaitUsableWorker WaitCause = "no usable worker"
	// WaitCapacity means that some workers may be given the task, but none has enough
	// free resources.
	WaitCapacity WaitCause = "no capacity"
	// WaitReserved means that the workers with enough free resources are kept free for
	// persistent tasks.
	WaitReserved WaitCause = "reserved for a persistent task"
	// WaitEligibleWorker means that every usable worker is excluded for another reason
	// than its free resources.
	WaitEligibleWorker WaitCause = "no eligible worker"
	// WaitAdvice means that the step has no valid tickets from the adviser.
	WaitAdvice WaitCause = "advice pending"
	// WaitRestartDelay means that a persistent task has just ended.
	WaitRestartDelay WaitCause = "restart delay"
	// WaitGang means that not all tasks of a gang can be placed at the same time, or
	// that its previous run is not over.
	WaitGang WaitCause = "gang incomplete"
	// WaitPlacing means that a worker may be given the task, but the task is not placed.
	WaitPlacing WaitCause = "not placed yet"
	// WaitPlacementStored means that the worker of the run is not stored yet.
	WaitPlacementStored WaitCause = "placement not stored"
	WaitStart           WaitCause = "start unconfirmed"
	// WaitFormerRun means that the run of a former owner may be running, and its worker
	// has not answered this owner.
	WaitFormerRun WaitCause = "former run unresolved"
	WaitStop      WaitCause = "stop unconfirmed"
	// WaitRun means that the run is believed to be running, but its worker has not
	// confirmed it for long.
	WaitRun WaitCause = "run believed running"
	// WaitDependencies means that no task of the job may start.
	WaitDependencies WaitCause = "dependencies"
	// WaitOutcomeStored means that the job has ended, and its outcome is not stored yet.
	WaitOutcomeStored WaitCause = "outcome not stored"
)

// Waiting describes tasks of a step that could run, and wait for the same. The fields
// from Task on describe the task that has waited the longest.
type Waiting struct {
	Job string
	// Tasks is the number of the tasks.
	Tasks int
	// Task is the name of a task, or empty if Cause is about the whole job.
	Task string
	// Since is when the task began to wait.
	Since time.Time
	Cause WaitCause
	Need  rock.Resources
	// LastRun is the number of the last run, and FailedRuns the number of failures.
	LastRun    int64
	FailedRuns int
	// Run is the current run, or nil if there is none.
	Run *WaitingRun
	// Excluded holds the workers that may not be given the task, by reason, and Eligible
	// is the number of the other workers. Both are set only if there is no current run.
	Excluded []ExcludedWorkers
	Eligible int
}

// WaitingRun is a run that is not confirmed to be running.
type WaitingRun struct {
	Number int64
	State  string
	Worker string
	// WorkerExclusion is why the worker may not be given new tasks, or empty.
	WorkerExclusion Exclusion
	// ConfirmedAt is when the worker last confirmed the run, OrderedAt when the last
	// order about it was sent, and WorkerAnsweredAt when the worker last answered. Each
	// is zero if that never happened.
	ConfirmedAt      time.Time
	OrderedAt        time.Time
	WorkerAnsweredAt time.Time
	// InFlight is true while an order about the run has no answer.
	InFlight bool
	// StopReason is why the run is to be stopped.
	StopReason string
	// UnstoredEnds is the number of ends that the worker has listed and that are not
	// acknowledged. It lists at most [rock.MaxEnds].
	UnstoredEnds int64
	// Registered, AcceptedFence, Gone and Unresponsive are what the owner believes of
	// the worker.
	Registered    bool
	AcceptedFence bool
	Gone          bool
	Unresponsive  bool
}

// ExcludedWorkers are the workers that are excluded for the same reason.
type ExcludedWorkers struct {
	Reason Exclusion
	Count  int
	// Workers holds the IDs of at most maxExcludedWorkers of them.
	Workers []string
}

// maxExcludedWorkers bounds the workers that are named for each reason.
const maxExcludedWorkers = 3

// WaitQuery holds the parameters of [Cell.Waiting].
type WaitQuery struct {
	// Longer is how long a task must have waited.
	Longer time.Duration
	// MaxJobs bounds the jobs that are described.
	MaxJobs int
	// Skip reports whether a job is not to be described; nil means none.
	Skip func(job string) bool
}

// WaitReport is the answer to a [WaitQuery].
type WaitReport struct {
	// Tasks and Jobs are the numbers of all tasks that have waited that long, and of
	// their jobs.
	Tasks int
	Jobs  int
	// LeftOut is the number of the jobs that are neither described nor skipped.
	LeftOut int
	// Waiting describes the tasks of the jobs that have waited the longest.
	Waiting []Waiting
	// GoneWithRuns holds the IDs of the workers that are believed to be gone and still
	// have runs, which contradict each other.
	GoneWithRuns []string
	// Capacity and Free are the resources of the registered workers that are not gone.
	Capacity rock.Resources
	Free     rock.Resources
}

// waitGroup holds the waiting tasks of a step whose runs have the same state.
type waitGroup struct {
	job   *job
	task  *task // nil if the whole job waits
	since time.Time
	count int
}

// Waiting describes the tasks that could run and have waited for long. It changes
// nothing. It looks at every task, and at every worker for each described task.
func (c *Cell) Waiting(now time.Time, q WaitQuery) WaitReport {
	var report WaitReport
	var found [][]waitGroup
	for _, j := range c.jobs {
		groups := c.waitGroups(now, j, q.Longer)
		if len(groups) == 0 {
			continue
		}
		report.Jobs++
		for _, g := range groups {
			report.Tasks += g.count
		}
		if q.Skip == nil || !q.Skip(j.ID) {
			found = append(found, groups)
		}
	}
	for id, w := range c.workers {
		if w.gone && len(w.runs) > 0 {
			report.GoneWithRuns = append(report.GoneWithRuns, id)
		}
		if w.registered && !w.gone {
			report.Capacity, report.Free = report.Capacity.Add(w.Capacity), report.Free.Add(w.freeResources())
		}
	}
	slices.Sort(report.GoneWithRuns)
	slices.SortFunc(found, func(a, b []waitGroup) int {
		return cmp.Or(a[0].since.Compare(b[0].since), cmp.Compare(a[0].job.ID, b[0].job.ID))
	})
	n := min(len(found), q.MaxJobs)
	report.LeftOut = len(found) - n
	for _, groups := range found[:n] {
		for _, g := range groups[:min(len(groups), maxWaitingPerJob)] {
			report.Waiting = append(report.Waiting, c.describeWait(now, g))
		}
	}
	return report
}

// maxWaitingPerJob bounds the descriptions of one job.
const maxWaitingPerJob = 3

// waitGroups returns the tasks of a job that have waited for longer than the given
// time, the longest wait first.
func (c *Cell) waitGroups(now time.Time, j *job, longer time.Duration) []waitGroup {
	if j.state.Ended() {
		if now.Sub(j.endedAt) <= longer {
			return nil
		}
		return []waitGroup{{job: j, since: j.endedAt, count: 1}}
	}
	var groups []waitGroup
	mayProceed := j.occurrences.next < j.Spec.Occurrences()
	for _, s := range j.steps {
		if s.remaining == 0 {
			continue
		}
		if !s.mayStart(now) {
			mayProceed = mayProceed || now.Before(j.Spec.ScheduledAt(s.occurrence))
			continue
		}
		byState := map[runState]int{}
		ready := s.readySince()
		for _, t := range s.tasks {
			if t.done {
				continue
			}
			mayProceed = true
			since := t.waitsSince(ready)
			if now.Sub(since) <= longer {
				continue
			}
			var state runState
			if t.current != nil {
				state = t.current.state
			}
			i, ok := byState[state]
			if !ok {
				i = len(groups)
				byState[state] = i
				groups = append(groups, waitGroup{job: j, task: t, since: since})
			}
			g := &groups[i]
			g.count++
			if since.Before(g.since) {
				g.task, g.since = t, since
			}
		}
	}
	if !mayProceed && now.Sub(j.addedAt) > longer {
		groups = append(groups, waitGroup{job: j, since: j.addedAt, count: 1})
	}
	slices.SortStableFunc(groups, func(a, b waitGroup) int { return a.since.Compare(b.since) })
	return groups
}

// readySince returns when the tasks of a step that may start could first run.
func (s *step) readySince() time.Time {
	ready := later(s.job.addedAt, s.job.Spec.ScheduledAt(s.occurrence))
	for _, d := range s.DependsOn {
		for _, t := range s.job.step(s.occurrence, d).tasks {
			ready = later(ready, t.endedAt)
		}
	}
	return ready
}

// waitsSince returns since when a task that is not done has had no confirmed run. Its
// step has been able to start since ready.
func (t *task) waitsSince(ready time.Time) time.Time {
	since := later(ready, t.endedAt)
	if t.current != nil {
		since = later(since, t.current.confirmedAt)
	}
	return since
}

// describeWait tells what the tasks of a group wait for.
func (c *Cell) describeWait(now time.Time, g waitGroup) Waiting {
	d := Waiting{Job: g.job.ID, Tasks: g.count, Since: g.since}
	t := g.task
	switch {
	case t != nil:
		d.Task, d.Need, d.LastRun, d.FailedRuns = t.key, t.step.Reservation(), t.lastRun, len(t.failedRuns)
	case g.job.state.Ended():
		d.Cause = WaitOutcomeStored
		return d
	default:
		d.Cause = WaitDependencies
		return d
	}
	if t.current != nil {
		d.Cause, d.Run = t.current.waitCause(), t.current.describe(now)
		return d
	}
	d.Excluded, d.Eligible = c.excludedWorkers(now, t)
	d.Cause = c.waitCause(now, t, d.Excluded, d.Eligible)
	return d
}

// waitCause returns what a task with this run waits for.
func (r *run) waitCause() WaitCause {
	switch r.state {
	case placed:
		return WaitPlacementStored
	case starting:
		if !r.answeredAt.IsZero() {
			return WaitFormerRun
		}
		return WaitStart
	case stopping:
		return WaitStop
	}
	return WaitRun
}

func (r *run) describe(now time.Time) *WaitingRun {
	w := r.worker
	return &WaitingRun{
		Number: r.number, State: string(r.state), Worker: w.id(), WorkerExclusion: w.exclusion(now),
		ConfirmedAt: r.confirmedAt, OrderedAt: r.orderedAt, WorkerAnsweredAt: w.answeredAt, InFlight: r.inFlight, StopReason: r.stopReason, UnstoredEnds: w.handledEnd - w.storedEnd,
		Registered: w.registered, AcceptedFence: w.acceptedFence, Gone: w.gone, Unresponsive: w.unresponsive,
	}
}

// excludedWorkers returns the workers that may not be given the task, the most frequent
// reason first, and the number of the others.
func (c *Cell) excludedWorkers(now time.Time, t *task) ([]ExcludedWorkers, int) {
	eligible := 0
	byReason := map[Exclusion]*ExcludedWorkers{}
	for id, w := range c.workers {
		e := c.explainExclusion(now, t, w)
		if e == "" {
			eligible++
			continue
		}
		x := byReason[e]
		if x == nil {
			x = &ExcludedWorkers{Reason: e}
			byReason[e] = x
		}
		x.Count++
		if len(x.Workers) < maxExcludedWorkers {
			x.Workers = append(x.Workers, id)
		}
	}
	var list []ExcludedWorkers
	for _, x := range byReason {
		slices.Sort(x.Workers)
		list = append(list, *x)
	}
	slices.SortFunc(list, func(a, b ExcludedWorkers) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return list, eligible
}

// waitCause returns what a task without a run waits for, given the workers that may not
// be given the task and the number of the others.
func (c *Cell) waitCause(now time.Time, t *task, excluded []ExcludedWorkers, eligible int) WaitCause {
	counts := map[Exclusion]int{}
	for _, x := range excluded {
		counts[x.Reason] = x.Count
	}
	usable := eligible + counts[ExcludedCapacity] + counts[ExcludedReserved]
	usable += counts[ExcludedLabel] + counts[ExcludedTaskLimit] + counts[ExcludedMaxPerWorker] + counts[ExcludedNoTicket]
	switch {
	case c.startsPaused:
		return WaitStartsPaused
	case t.awaitsQueue():
		return WaitQueueConfig
	case usable == 0:
		return WaitUsableWorker
	case t.step.job.queue.RequiresTicket && !t.step.advice.valid(now):
		return WaitAdvice
	case t.step.Gang && (eligible > 0 || t.step.hasRun()):
		return WaitGang
	case !c.mayRestart(now, t):
		return WaitRestartDelay
	case eligible > 0:
		return WaitPlacing
	case counts[ExcludedReserved] > 0:
		return WaitReserved
	case counts[ExcludedCapacity] > 0:
		return WaitCapacity
	}
	return WaitEligibleWorker
}

// hasRun reports whether a task of the step has a current run.
func (s *step) hasRun() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.current != nil })
}
