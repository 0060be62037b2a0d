package site

import (
	"context"
	"fmt"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/resize"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
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
	// loadRetry is the time before a failed reading of a cell is repeated.
	loadRetry = 50 * time.Millisecond
	// releaseTimeout bounds the writes with which a cell is given up.
	releaseTimeout = 1500 * time.Millisecond
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
	for _, home := range o.lease.Out() {
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

// load reads the cell's rows, and returns the version from which its jobs are
// to be followed.
func (o *owner) load(ctx context.Context) (uint64, error) {
	for {
		version, err := o.tryLoad(ctx)
		if err == nil || ctx.Err() != nil || o.site.now().After(o.lease.ActUntil()) {
			return version, err
		}
		o.log.WithError(err).Info("Cell cannot be read yet.")
		if err := pause(ctx, loadRetry); err != nil {
			return 0, err
		}
	}
}

func (o *owner) tryLoad(ctx context.Context) (uint64, error) {
	workers := map[string]workerRow{}
	homes := o.lease.Held()
	o.spread = false
	for i, home := range homes {
		sent := o.site.now()
		rows, err := o.site.settings.Store.List(ctx, cellTable, homePart(o.cell, home), "", "")
		if err != nil {
			return 0, err
		}
		if i == 0 {
			o.early, o.late = sent.Add(-rows.Now), o.site.now().Add(-rows.Now)
		}
		if err := o.loadHome(home, rows.Rows, workers); err != nil {
			return 0, err
		}
	}
	o.heardAt = o.site.now()
	jobs, err := o.site.listJobs(ctx, o.cell, homes)
	if err != nil {
		return 0, err
	}
	former := map[string]time.Time{}
	for id, w := range workers {
		former[id] = o.ownTime(w.UntilMS)
	}
	o.build(former)
	o.miss(o.site.now(), jobs.unread)
	for _, home := range o.lease.Out() {
		o.miss(o.site.now(), []string{homePart(o.cell, home)})
	}
	o.loadProgress(jobs.rows)
	o.takeJobs(o.site.now(), jobs.rows)
	if o.spread {
		o.copyAll(o.site.now())
	} else {
		o.lease.Copied()
	}
	return jobs.version, nil
}

// loadHome takes in the rows of one home, and the newest rows of workers.
func (o *owner) loadHome(home int, rows []rock.Row, workers map[string]workerRow) error {
	ownerVersion, _ := o.lease.Versions(home)
	for _, r := range rows {
		_, name := splitKey(r.Key())
		switch {
		case name == ownerName && r.Version() != ownerVersion:
			return fmt.Errorf("home %d of the cell has another owner", home)
		case strings.HasPrefix(name, workerPrefix):
			var w workerRow
			if err := cbor.Unmarshal(r.Value(), &w); err != nil {
				return fmt.Errorf("decode row of a worker: %w", err)
			}
			id := strings.TrimPrefix(name, workerPrefix)
			if other, ok := workers[id]; !ok || w.Stamp.After(other.Stamp) {
				workers[id] = w
				o.spread = o.spread || home != o.lease.Main()
			}
		}
	}
	return nil
}

// loadProgress keeps the newest progress of each job.
func (o *owner) loadProgress(rows []rock.Row) {
	o.progress = map[string]works.Progress{}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		home, _ := homeOf(part)
		if suffix == outcomeSuffix && home != o.lease.Main() {
			o.spread = true
		}
		if suffix != progressSuffix {
			continue
		}
		p, err := works.DecodeProgress(r.Value())
		if err != nil {
			o.log.WithError(err).WithField("row", r.Key()).Error("Progress cannot be read.")
			continue
		}
		if other, ok := o.progress[id]; !ok || p.Stamp.After(other.Stamp) {
			o.progress[id] = p
			o.spread = o.spread || home != o.lease.Main()
		}
	}
}

// formerSlack is added to the time until which a former owner's leases may
// last: the way of its last orders, and the age of its reading of clocks.
const formerSlack = time.Second

// build makes the cell's state.
func (o *owner) build(former map[string]time.Time) {
	s := &o.site.settings
	c := cell.Settings{
		Pool: o.pool, Fence: o.fence, Hold: s.Hold, MaxHold: s.MaxHold, Former: former,
		Stop: s.Stop, Far: s.Far, Early: s.Early, Remember: keepFactor * s.Keep,
	}
	if !o.first {
		c.SettledAt = o.site.now().Add(time.Duration(float64(s.Hold)*leaseStretch) + formerSlack)
	}
	o.core = cell.New(c)
	o.core.SetQueues(o.site.view.queues())
	o.strays, o.outcomes = map[string][]string{}, map[string]works.Outcome{}
	o.unread, o.waiting, o.copies = nil, nil, nil
}

// leaseStretch is how much longer a lease may last by the entry's clock: a
// worker's clock may be 2 % slow.
const leaseStretch = 1.03

// takeJobs takes in rows of jobs. Progress is taken in with its job.
func (o *owner) takeJobs(now time.Time, rows []rock.Row) {
	ended := o.ended(rows)
	for id := range ended {
		o.core.Remember(now, id)
	}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		if cellOfPart(part) != o.cell || !r.Exists() {
			continue
		}
		if id, suffix := splitJobName(name); suffix == jobSuffix && !hasEnded(r.Value()) {
			o.takeJob(now, id, part, r, ended)
		}
	}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		if id, suffix := splitJobName(name); cellOfPart(part) == o.cell && r.Exists() && suffix == cancelSuffix {
			o.core.Cancel(now, id)
			if len(o.unread) > 0 {
				o.waiting = append(o.waiting, r) // its job may not be known yet
			}
		}
	}
	o.changed = true
}

// takeJob takes in the row of a job that was handed in.
func (o *owner) takeJob(now time.Time, id, part string, r rock.Row, ended map[string]works.Outcome) {
	if part != intakeParts(o.cell, id)[0] {
		if len(o.unread) > 0 && !o.core.Over(id) {
			o.waiting = append(o.waiting, r) // it may have ended, or be known from a part that is down
			return
		}
		o.strays[id] = append(o.strays[id], part)
	}
	if o.core.Over(id) {
		if outcome, ok := ended[id]; ok {
			o.outcomes[id] = outcome
		}
		o.retireJob(id, true)
		return
	}
	j, err := works.DecodeJob(r.Value())
	if err != nil {
		o.log.WithError(err).WithField("row", r.Key()).Error("Job cannot be read.")
		return
	}
	o.core.AddJob(now, j, r.Version())
	if p, ok := o.progress[id]; ok {
		delete(o.progress, id)
		o.core.AddProgress(now, id, p)
	}
	o.core.TakeWithheld(now, id)
}

// ended returns the outcomes in the rows.
func (o *owner) ended(rows []rock.Row) map[string]works.Outcome {
	ended := map[string]works.Outcome{}
	for _, r := range rows {
		part, name := splitKey(r.Key())
		id, suffix := splitJobName(name)
		if _, home := homeOf(part); !home || cellOfPart(part) != o.cell || suffix != outcomeSuffix || !r.Exists() {
			continue
		}
		outcome, err := works.DecodeOutcome(r.Value())
		if err != nil {
			o.log.WithError(err).WithField("row", r.Key()).Error("Outcome cannot be read.")
		}
		ended[id] = outcome
	}
	return ended
}

// post hands an event to the loop.
func (o *owner) post(ctx context.Context, f func(now time.Time)) {
	select {
	case o.events <- f:
	case <-ctx.Done():
	}
}

// followJobs follows the rows of the cell's jobs from a version on.
func (o *owner) followJobs(ctx context.Context, version uint64) error {
	first := true
	return o.site.follow(ctx, table{
		name: o.table,
		list: func(ctx context.Context) (uint64, error) {
			if first {
				first = false
				return version, nil
			}
			sent := o.site.now()
			l, err := o.site.listJobs(ctx, o.cell, o.homesHeld(ctx))
			if err != nil {
				return 0, err
			}
			o.post(ctx, func(now time.Time) {
				o.miss(now, l.unread)
				o.heard(now, sent, l.rows)
			})
			return l.version, nil
		},
		take: func(sent time.Time, rows []rock.Row) {
			o.post(ctx, func(now time.Time) { o.heard(now, sent, rows) })
		},
		gap: every(jobPoll),
	})
}

// heard takes in rows of jobs. All changes up to that time are known then.
func (o *owner) heard(now, upTo time.Time, rows []rock.Row) {
	if len(rows) > 0 {
		o.takeJobs(now, rows)
	}
	o.heardAt = upTo
}

// jobPoll is the time between readings of the cell's jobs, so that its own
// writes and the jobs of a surge come together.
const jobPoll = 30 * time.Millisecond

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
	if now.Before(o.lease.ActUntil()) && o.changed && now.Sub(o.decidedAt) >= decideGap {
		o.changed, o.decidedAt = false, now
		o.give(o.core.Decide(now, o.heardAt))
		o.poll()
	}
	o.logNotes()
	o.tendHomes(now)
	for _, home := range o.lease.Due(now, len(o.copies) > 0 || o.core.FlushDue(now)) {
		o.commit(now, home)
	}
}

// logNotes writes a line for each change of belief.
func (o *owner) logNotes() {
	for _, n := range o.core.Notes() {
		e := o.log.WithFields(logrus.Fields{"fence": o.fence})
		for name, value := range map[string]string{"job": n.Job, "task": n.Task, "worker": n.Worker, "detail": n.Detail} {
			if value != "" {
				e = e.WithField(name, value)
			}
		}
		if n.Run > 0 {
			e = e.WithField("run", n.Run)
		}
		e.Info(sentence(n.What))
	}
}

// sentence returns the words as a sentence.
func sentence(words string) string {
	return strings.ToUpper(words[:1]) + words[1:] + "."
}

// release gives the cell up, so that another entry takes it at once.
func (o *owner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	main := o.lease.Main()
	for o.outstanding[main] == nil && ctx.Err() == nil {
		now := o.site.now()
		o.core.Leave(now)
		b := o.core.Flush(now)
		t, err := o.transaction(now, main, b, nil)
		if err != nil {
			o.log.WithError(err).Error("Last writes cannot be encoded.")
			return
		}
		version, err := o.site.settings.Store.Apply(ctx, t)
		if err != nil {
			o.log.WithError(err).Warn("Last writes failed.")
			return
		}
		o.lease.Stored(main, version)
		o.core.Flushed(now, b)
		if len(b.Writes) == 0 {
			break
		}
	}
	value, err := encode(tenure.Owner{})
	if err != nil {
		o.log.WithError(err).Error("Owner cannot be encoded.")
		return
	}
	g := group.New(ctx)
	for _, home := range o.lease.Held() {
		ownerVersion, _ := o.lease.Versions(home)
		g.Go("release home", func(ctx context.Context) error {
			part := homePart(o.cell, home)
			var t rock.Transaction
			t.Require(key(cellTable, part, ownerName), ownerVersion)
			t.Put(key(cellTable, part, ownerName), value)
			_, err := o.site.settings.Store.Apply(ctx, t)
			return err
		})
	}
	o.log.WithField("error", fmt.Sprint(g.Wait())).Info("Cell released.")
}
