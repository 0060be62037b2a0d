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
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
)

const (
	// maxEvents bounds the events that wait for a cell.
	maxEvents = 4096
	// maxDecideInterval is the time between decisions when nothing happens.
	maxDecideInterval = 50 * time.Millisecond
	// minDecideInterval is the least time between decisions, so that the events of a
	// surge are taken in together.
	minDecideInterval = 5 * time.Millisecond
	// leaseOrderWait is how long a hold order waits for an end. It is a fraction of
	// the lease, so that a lost answer does not let the lease pass.
	leaseOrderWait = 700 * time.Millisecond
	// leaseOrderRetryDelay is the time before a worker that did not answer is asked
	// again.
	leaseOrderRetryDelay = 150 * time.Millisecond
)

// cellOwner owns a cell.
type cellOwner struct {
	site     *Site
	cell     string
	pool     string
	jobTable string
	log      *logrus.Entry
	state    *cell.Cell
	group    *group.Group
	// events holds what the goroutines of the owner have to tell.
	events chan func(now time.Time)
	// firstOwner is true if the cell had no owner before.
	firstOwner bool
	fence      uint64
	// lease is the ownership, and outstanding what is being written to each home.
	lease         *tenure.Lease
	pendingWrites map[int]*homeWrite
	// tableEpochEarliest and late bound the time of the entry's clock at which the clock of
	// the platform's table was zero.
	tableEpochEarliest time.Time
	tableEpochLatest   time.Time
	lostReason         string
	// acquiredAt is when the cell was taken.
	acquiredAt time.Time
	pollers    map[string]bool
	changed    bool
	decidedAt  time.Time
	// jobsKnownUpTo is the time up to which all changes of the cell's jobs are taken
	// in.
	jobsKnownUpTo time.Time
	// spareHosts is the number of the pool's hosts that could leave it now.
	spareHosts int
	// activity tells of the pool's surges.
	activity resize.Activity
	// endedJobs holds the jobs whose outcomes are stored and whose rows are to be
	// marked.
	endedJobs []endedJob
	// extraParts holds the parts with rows of live jobs besides those that are tried
	// first.
	extraParts map[string][]string
	// pendingProgress holds the progress of jobs that are not known yet.
	pendingProgress map[string]works.Progress
	// unreadParts holds the parts that could not be read, and waiting the rows that
	// must wait until they are.
	unreadParts  []string
	deferredRows []rock.Row
	// unmarkedOutcomes holds the outcomes of jobs whose rows are not marked yet, and
	// copies the jobs whose outcomes are to be written to another home.
	unmarkedOutcomes map[string]works.Outcome
	outcomesToCopy   []string
	// announcedOrders is the row with the hosts that may be ordered.
	announcedOrders []byte
	// stateOutsideMain is true if homes besides the main one hold state.
	stateOutsideMain bool
	// copying is true while not all state is written to the main home.
	copying bool
}

// run owns the cell until ctx ends or the cell is lost.
func (o *cellOwner) run(ctx context.Context) {
	jobs, err := o.load(ctx)
	if err != nil {
		o.log.WithError(err).Warn("Cell cannot be read and is left.")
		return
	}
	o.pollers = map[string]bool{}
	o.group = group.New(ctx)
	defer o.site.view.subscribe(func() { o.enqueue(o.group.Context(), func(now time.Time) { o.refresh(now) }) })()
	o.refresh(o.site.now())
	o.group.Go("follow jobs", func(ctx context.Context) error { return o.followJobs(ctx, jobs) })
	o.group.Go("tend hosts", o.manageHosts)
	o.group.Go("sweep outcomes", o.sweep)
	o.group.Go("retire jobs", o.markEndedJobs)
	o.group.Go("read missing parts", o.readUnreadParts)
	for _, home := range o.lease.ExcludedHomes() {
		o.reconcileHome(home, nil)
	}
	o.group.Go("decide", func(ctx context.Context) error {
		defer o.group.Stop()
		return o.loop(ctx)
	})
	if err := o.group.Wait(); err != nil {
		o.log.WithError(err).Error("Owner of the cell ended.")
	}
	if o.lostReason != "" {
		o.site.meters.lost.Inc(1)
		o.log.WithField("reason", o.lostReason).Warn("Cell lost.")
		return
	}
	o.release()
}

// enqueue hands an event to the loop.
func (o *cellOwner) enqueue(ctx context.Context, f func(now time.Time)) {
	select {
	case o.events <- f:
	case <-ctx.Done():
	}
}

// refresh takes in the configuration and the workers.
func (o *cellOwner) refresh(now time.Time) {
	if list, ok := o.site.view.listWorkers(); ok {
		o.state.SetWorkers(now, list)
	}
	o.state.SetQueues(o.site.view.queues())
	o.changed = true
}

// loop takes in events and decides, until ctx ends or the cell is lost.
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
		o.resetTicker(t, now)
	}
	return nil
}

// shouldRelease reports whether the cell is to be given up, so that an entry with
// more processor time takes it.
func (o *cellOwner) shouldRelease(now time.Time) bool {
	if o.pendingWrites[o.lease.Main()] != nil {
		return false // its outcome must be known for a release
	}
	yes, late := o.site.lateness.decideRelease(now, o.acquiredAt)
	if yes {
		o.site.view.withCell(o.cell, func(c *cellView) { c.releasedAt = now })
		o.log.WithField("late_ms", late.Milliseconds()).WithField("owned_ms", now.Sub(o.acquiredAt).Milliseconds()).Warn("Cell is given up, the entry runs late.")
	}
	return yes
}

// resetTicker sets the ticker to the next time at which something is due.
func (o *cellOwner) resetTicker(t *time.Ticker, now time.Time) {
	next := maxDecideInterval
	if o.changed {
		next = max(time.Millisecond, minDecideInterval-now.Sub(o.decidedAt))
	}
	t.Reset(next)
}

// handleQueuedEvents takes in the events that have come meanwhile, each at its time: an
// answer must not be dated before it came.
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

// advance gives the orders and makes the writes that are due.
func (o *cellOwner) advance(now time.Time) {
	if now.Before(o.lease.ValidUntil()) && o.changed && now.Sub(o.decidedAt) >= minDecideInterval {
		o.changed, o.decidedAt = false, now
		o.dispatchOrders(o.state.Decide(now, o.jobsKnownUpTo))
		o.startPollers()
	}
	o.logEvents()
	o.updateHomes(now)
	for _, home := range o.lease.HomesToRenew(now, len(o.outcomesToCopy) > 0 || o.state.FlushDue(now)) {
		o.commit(now, home)
	}
}

// logEvents writes a line for each change of belief.
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

// sentence returns the words as a sentence.
func sentence(words string) string {
	return strings.ToUpper(words[:1]) + words[1:] + "."
}
