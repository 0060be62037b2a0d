package site

import (
	"context"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/resize"
	"bramleyrock/core/tenure"
	"bramleyrock/core/trail"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
)

const (
	// maxEvents bounds the events that are queued for the loop of a cell's owner.
	maxEvents = 4096
	// maxDecideInterval is the longest time between decisions, when no event arrives.
	maxDecideInterval = 50 * time.Millisecond
	// minDecideInterval is the least time between decisions, so that many events of
	// a surge are handled before one decision.
	minDecideInterval = 5 * time.Millisecond
	// decideIntervalFactor is the least ratio of the time between decisions to the time
	// that one takes, so that an entry with little CPU also handles answers and sends
	// orders in a surge.
	decideIntervalFactor = 6
	// maxDecidePause bounds the time between decisions that follows from it. A decision
	// also takes long if the process is suspended.
	maxDecidePause = 250 * time.Millisecond
	// leaseOrderWait is how long a lease order waits for the end of a run. It is a
	// fraction of the lease, so that the lease does not expire if one answer is lost.
	leaseOrderWait = 700 * time.Millisecond
	// leaseOrderRetryDelay is the delay before a worker that refused or did not answer
	// is polled again.
	leaseOrderRetryDelay = 150 * time.Millisecond
)

// cellOwner runs one cell that this entry owns. Its fields belong to the goroutine of
// [cellOwner.loop]; other goroutines send it events with [cellOwner.enqueue].
type cellOwner struct {
	site     *Site
	cell     string
	pool     string
	jobTable string
	log      *logrus.Entry
	state    *cell.Cell
	group    *group.Group
	// events holds the events that the loop handles.
	events chan func(now time.Time)
	// firstOwner is true if the cell never had an owner before.
	firstOwner bool
	// fence is the owner's epoch, which is part of every order to a worker.
	fence uint64
	// lease is the ownership of the cell, and pendingWrites holds the unfinished
	// write of each home.
	lease         *tenure.Lease
	pendingWrites map[int]*homeWrite
	// tableEpochEarliest and tableEpochLatest bound the time of the entry's clock at
	// which the clock of the platform's table was zero.
	tableEpochEarliest time.Time
	tableEpochLatest   time.Time
	// lostReason is why the cell was lost, or "" if it was not lost.
	lostReason string
	// acquiredAt is when the cell was acquired.
	acquiredAt time.Time
	// pollers holds the workers that are being polled.
	pollers map[string]bool
	// changed is true if something has changed since the last decision, at decidedAt.
	changed   bool
	decidedAt time.Time
	// decideInterval is the least time from decidedAt to the next decision.
	decideInterval time.Duration
	// jobsKnownUpTo is the time up to which all changes of the cell's jobs are
	// applied.
	jobsKnownUpTo time.Time
	// spareHosts is the number of hosts that could leave the pool when they were last
	// listed.
	spareHosts int
	// cachedLoad is the load of the cell at loadedAt.
	cachedLoad cell.Load
	loadedAt   time.Time
	// activity records the surges of the pool.
	activity resize.Activity
	// endedJobs holds the jobs with stored outcomes whose rows must be marked as
	// ended.
	endedJobs []endedJob
	// extraParts holds the intake parts other than the first choice that have rows of
	// live jobs, by job id.
	extraParts map[string][]string
	// pendingProgress holds stored progress of jobs whose rows are not known yet.
	pendingProgress map[string]jobProgress
	// pendingOutcomes holds the outcomes that were read while parts were unread. The
	// rows of the jobs may be in these parts.
	pendingOutcomes map[string]works.Outcome
	// unreadParts holds the parts that could not be read, and the version from which
	// changes have been followed since: older contents of the part do not count.
	// deferredRows holds the rows that can be applied only when all parts are read.
	unreadParts  map[string]uint64
	deferredRows []rock.Row
	// unmarkedOutcomes holds the outcomes of jobs whose rows are not marked as ended
	// yet, and outcomesToCopy the jobs whose outcomes must be copied to another home.
	unmarkedOutcomes map[string]works.Outcome
	outcomesToCopy   []string
	// seals holds the rows that prevent that a job is stored, by key, and idleQueues since
	// when the cell has had no job of the queues that are not sent to its pool any more.
	seals      map[string]seal
	idleQueues map[string]time.Time
	// announcedOrders is the value of the row with the hosts that may get orders.
	announcedOrders []byte
	// stateOutsideMain is true if another home holds state that the main home lacks.
	stateOutsideMain bool
	// waits decides which waiting tasks are logged.
	waits waitLog
	// copying is true until all state is written to the main home.
	copying bool
}

// run loads and serves the cell until ctx ends or the cell is lost or released.
func (o *cellOwner) run(ctx context.Context) {
	o.pollers = map[string]bool{}
	o.group = group.New(ctx)
	o.group.Go("decide", func(ctx context.Context) error {
		defer o.group.Stop()
		if version, ok := o.load(ctx); ok {
			return o.serve(ctx, version)
		}
		return nil
	})
	if err := o.group.Wait(); err != nil {
		o.log.WithError(err).Error("Owner of the cell failed.")
	}
	o.site.meters.waitingTasks(o.cell).Update(0)
	if o.lostReason != "" {
		o.site.meters.lost.Inc(1)
		o.log.WithField("reason", o.lostReason).Warn("Cell lost.")
		return
	}
	if o.state != nil {
		o.release()
	}
}

// serve serves the cell, whose jobs are known up to a version, until ctx ends or the
// cell is lost or must be released.
func (o *cellOwner) serve(ctx context.Context, version uint64) error {
	defer o.site.view.subscribe(func() { o.enqueue(ctx, func(now time.Time) { o.refresh(now) }) })()
	o.refresh(o.site.now())
	o.group.Go("follow jobs", func(ctx context.Context) error { return o.followJobs(ctx, version) })
	o.group.Go("manage hosts", o.manageHosts)
	o.group.Go("sweep outcomes", o.sweep)
	o.group.Go("mark ended jobs", o.markEndedJobs)
	o.group.Go("read unread parts", o.readUnreadParts)
	for _, home := range o.lease.ExcludedHomes() {
		o.reconcileHome(home, nil)
	}
	return o.loop(ctx)
}

// enqueue queues an event for the loop, unless ctx ends first.
func (o *cellOwner) enqueue(ctx context.Context, f func(now time.Time)) {
	select {
	case o.events <- f:
	case <-ctx.Done():
	}
}

// applyQueues applies the configured queues, and those that are no longer configured and may
// have jobs.
func (o *cellOwner) applyQueues() {
	queues, _ := o.site.view.queues()
	var removed []works.Queue
	o.site.trail.with(func(t *trail.Trail) { removed = t.Removed(queues) })
	o.state.SetQueues(queues, removed...)
}

// refresh applies the current configuration and worker registrations.
func (o *cellOwner) refresh(now time.Time) {
	if list, ok := o.site.view.listWorkers(); ok {
		o.state.SetWorkers(now, list)
	}
	o.applyQueues()
	o.changed = true
}

// loop handles events and makes decisions until ctx ends or the cell is lost or must be
// released.
func (o *cellOwner) loop(ctx context.Context) error {
	t := time.NewTicker(maxDecideInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case f := <-o.events:
			f(o.site.now())
			o.handleQueuedEvents()
		case <-t.C:
			o.changed = true
		case <-ctx.Done():
			return nil
		}
		now := o.site.now()
		if o.state.Fenced() && o.lostReason == "" {
			o.lostReason = "a worker has seen a newer owner"
		}
		if o.lostReason != "" {
			return nil
		}
		if o.shouldRelease(now) {
			return nil
		}
		o.advance(now)
		o.resetTicker(t, o.site.now())
	}
	return nil
}

// loadMaxAge is how long the load of the cell is cached. Other entries read it a few times
// a second, and it takes long to compute while many jobs wait.
const loadMaxAge = 100 * time.Millisecond

// currentLoad returns the load of the cell, which is at most loadMaxAge old.
func (o *cellOwner) currentLoad(now time.Time) cell.Load {
	if o.loadedAt.IsZero() || now.Sub(o.loadedAt) > loadMaxAge {
		o.cachedLoad, o.loadedAt = o.state.Load(now), now
	}
	return o.cachedLoad
}

// shouldRelease reports whether the cell must be released because the entry runs late.
// An entry with more CPU can then acquire it.
func (o *cellOwner) shouldRelease(now time.Time) bool {
	if o.pendingWrites[o.lease.Main()] != nil {
		return false // releasing needs the outcome of this write
	}
	yes, late := o.site.lateness.decideRelease(now, o.acquiredAt)
	if yes {
		o.site.view.withCell(o.cell, func(c *cellView) { c.releasedAt = now })
		o.log.WithField("late_ms", late.Milliseconds()).WithField("owned_ms", now.Sub(o.acquiredAt).Milliseconds()).Warn("Cell is given up, the entry runs late.")
	}
	return yes
}

// resetTicker sets the ticker to the time of the next decision.
func (o *cellOwner) resetTicker(t *time.Ticker, now time.Time) {
	next := maxDecideInterval
	if o.changed {
		next = max(time.Millisecond, o.decideInterval-now.Sub(o.decidedAt))
	}
	t.Reset(next)
}

// handleQueuedEvents handles the events that are queued. Each event gets the time at
// which it is handled, so that no answer is dated before it arrived.
func (o *cellOwner) handleQueuedEvents() {
	for range maxEvents {
		select {
		case f := <-o.events:
			f(o.site.now())
		default:
			return
		}
	}
}

// decide makes a decision and sends its orders, if a decision is due.
func (o *cellOwner) decide(now time.Time) {
	if !o.changed || now.Sub(o.decidedAt) < o.decideInterval || !now.Before(o.lease.ValidUntil()) {
		return
	}
	o.changed, o.decidedAt = false, now
	o.dispatchOrders(o.state.Decide(now, o.jobsKnownUpTo))
	o.startPollers()
	o.decideInterval = min(maxDecidePause, max(minDecideInterval, decideIntervalFactor*o.site.now().Sub(now)))
}

// advance decides and sends orders if a decision is due, and starts the writes that are
// due.
func (o *cellOwner) advance(now time.Time) {
	o.decide(now)
	o.logEvents()
	o.logWaits(now)
	o.updateHomes(now)
	for _, home := range o.lease.HomesToRenew(now, len(o.outcomesToCopy) > 0 || o.state.FlushDue(now)) {
		o.commit(now, home)
	}
}

// logEvents logs the state changes of the cell.
func (o *cellOwner) logEvents() {
	for _, n := range o.state.TakeEvents() {
		e := o.log.WithFields(logrus.Fields{"fence": o.fence})
		for name, value := range map[string]string{"job": n.Job, "task": n.Task, "worker": n.Worker, "detail": n.Detail} {
			if value != "" {
				e = e.WithField(name, value)
			}
		}
		if n.Run > 0 {
			e = e.WithField("run", n.Run)
		}
		e.Info(sentence(n.Name))
	}
}

// sentence capitalises the first letter and adds a full stop.
func sentence(words string) string {
	return strings.ToUpper(words[:1]) + words[1:] + "."
}
