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
	// tick is the time between decisions when nothing happens.
	tick = 50 * time.Millisecond
	// decideGap is the least time between decisions, so that the events of a
	// surge are taken in together.
	decideGap = 5 * time.Millisecond
	// holdWait is how long a hold order waits for an end. It is a fraction of
	// the lease, so that a lost answer does not let the lease pass.
	holdWait = 700 * time.Millisecond
	// holdRetry is the time before a worker that did not answer is asked
	// again.
	holdRetry = 150 * time.Millisecond
)

// owner owns a cell.
type owner struct {
	site  *Site
	cell  string
	pool  string
	table string
	log   *logrus.Entry
	core  *cell.Cell
	group *group.Group
	// events holds what the goroutines of the owner have to tell.
	events chan func(now time.Time)
	// first is true if the cell had no owner before.
	first bool
	fence uint64
	// lease is the ownership, and outstanding what is being written to each home.
	lease       *tenure.Lease
	outstanding map[int]*outstanding
	// early and late bound the time of the entry's clock at which the clock of
	// the platform's table was zero.
	early time.Time
	late  time.Time
	lost  string
	// takenAt is when the cell was taken.
	takenAt   time.Time
	pollers   map[string]bool
	changed   bool
	decidedAt time.Time
	// heardAt is the time up to which all changes of the cell's jobs are taken
	// in.
	heardAt time.Time
	// spare is the number of the pool's hosts that could leave it now.
	spare int
	// activity tells of the pool's surges.
	activity resize.Activity
	// retired holds the jobs whose outcomes are stored and whose rows are to be
	// marked.
	retired []retiredJob
	// strays holds the parts with rows of live jobs besides those that are tried
	// first.
	strays map[string][]string
	// progress holds the progress of jobs that are not known yet.
	progress map[string]works.Progress
	// unread holds the parts that could not be read, and waiting the rows that
	// must wait until they are.
	unread  []string
	waiting []rock.Row
	// outcomes holds the outcomes of jobs whose rows are not marked yet, and
	// copies the jobs whose outcomes are to be written to another home.
	outcomes map[string]works.Outcome
	copies   []string
	// ordered is the row with the hosts that may be ordered.
	ordered []byte
	// spread is true if homes besides the main one hold state.
	spread bool
	// copying is true while not all state is written to the main home.
	copying bool
}

// run owns the cell until ctx ends or the cell is lost.
func (o *owner) run(ctx context.Context) {
	jobs, err := o.load(ctx)
	if err != nil {
		o.log.WithError(err).Warn("Cell cannot be read and is left.")
		return
	}
	o.pollers = map[string]bool{}
	o.group = group.New(ctx)
	defer o.site.view.listen(func() { o.post(o.group.Context(), func(now time.Time) { o.refresh(now) }) })()
	o.refresh(o.site.now())
	o.group.Go("follow jobs", func(ctx context.Context) error { return o.followJobs(ctx, jobs) })
	o.group.Go("tend hosts", o.tend)
	o.group.Go("sweep outcomes", o.sweep)
	o.group.Go("retire jobs", o.retireJobs)
	o.group.Go("read missing parts", o.readMissing)
	for _, home := range o.lease.ExcludedHomes() {
		o.find(home, nil)
	}
	o.group.Go("decide", func(ctx context.Context) error {
		defer o.group.Stop()
		return o.loop(ctx)
	})
	if err := o.group.Wait(); err != nil {
		o.log.WithError(err).Error("Owner of the cell ended.")
	}
	if o.lost != "" {
		o.site.meters.lost.Inc(1)
		o.log.WithField("reason", o.lost).Warn("Cell lost.")
		return
	}
	o.release()
}

// post hands an event to the loop.
func (o *owner) post(ctx context.Context, f func(now time.Time)) {
	select {
	case o.events <- f:
	case <-ctx.Done():
	}
}

// refresh takes in the configuration and the workers.
func (o *owner) refresh(now time.Time) {
	if list, ok := o.site.view.listWorkers(); ok {
		o.core.SetWorkers(now, list)
	}
	o.core.SetQueues(o.site.view.queues())
	o.changed = true
}

// loop takes in events and decides, until ctx ends or the cell is lost.
func (o *owner) loop(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case f := <-o.events:
			f(o.site.now())
			o.drain()
		case <-t.C:
			o.changed = true
		case <-ctx.Done():
			return nil
		}
		now := o.site.now()
		if o.core.Fenced() && o.lost == "" {
			o.lost = "a worker has seen a newer owner"
		}
		if o.lost != "" {
			return nil
		}
		if o.givesUp(now) {
			return nil
		}
		o.step(now)
		o.wake(t, now)
	}
	return nil
}

// givesUp reports whether the cell is to be given up, so that an entry with
// more processor time takes it.
func (o *owner) givesUp(now time.Time) bool {
	if o.outstanding[o.lease.Main()] != nil {
		return false // its outcome must be known for a release
	}
	yes, late := o.site.lag.giveUp(now, o.takenAt)
	if yes {
		o.site.view.withCell(o.cell, func(c *cellView) { c.givenAt = now })
		o.log.WithField("late_ms", late.Milliseconds()).WithField("owned_ms", now.Sub(o.takenAt).Milliseconds()).Warn("Cell is given up, the entry runs late.")
	}
	return yes
}

// wake sets the ticker to the next time at which something is due.
func (o *owner) wake(t *time.Ticker, now time.Time) {
	next := tick
	if o.changed {
		next = max(time.Millisecond, decideGap-now.Sub(o.decidedAt))
	}
	t.Reset(next)
}

// drain takes in the events that have come meanwhile, each at its time: an
// answer must not be dated before it came.
func (o *owner) drain() {
	for range maxEvents {
		select {
		case f := <-o.events:
			f(o.site.now())
		default:
			return
		}
	}
}

// step gives the orders and makes the writes that are due.
func (o *owner) step(now time.Time) {
	if now.Before(o.lease.ValidUntil()) && o.changed && now.Sub(o.decidedAt) >= decideGap {
		o.changed, o.decidedAt = false, now
		o.give(o.core.Decide(now, o.heardAt))
		o.poll()
	}
	o.logNotes()
	o.tendHomes(now)
	for _, home := range o.lease.HomesToRenew(now, len(o.copies) > 0 || o.core.FlushDue(now)) {
		o.commit(now, home)
	}
}

// logNotes writes a line for each change of belief.
func (o *owner) logNotes() {
	for _, n := range o.core.TakeEvents() {
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
