package sched

import (
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/eject"
	"bramleyrock/core/place"
	"bramleyrock/core/queue"
	"bramleyrock/core/retry"
)

// Scheduler schedules the requests of one entry. It is not safe for
// concurrent use.
type Scheduler struct {
	settings   Settings
	fleet      rock.Fleet
	placer     *place.Placer
	quarantine *eject.Quarantine
	pools      map[string]*poolState
}

// New returns a scheduler that knows no configuration yet.
func New(s Settings) *Scheduler {
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	return &Scheduler{
		settings:   s,
		placer:     place.New(s.Place),
		quarantine: eject.NewQuarantine(s.Quarantine),
		pools:      map[string]*poolState{},
	}
}

// Update puts a newer configuration in use; an older one is ignored.
func (s *Scheduler) Update(now time.Time, fleet rock.Fleet) {
	if s.fleet != nil && fleet.Revision() <= s.fleet.Revision() {
		return
	}
	s.fleet = fleet
	s.placer.Update(now, fleet)
	for pool, l := range s.pools {
		s.updateCapacity(pool, l)
	}
}

// Submit admits a request to the queue of its pool. A refusal has verdict
// [rock.NotRun].
func (s *Scheduler) Submit(now time.Time, r rock.Request) (Ticket, error) {
	if err := s.requireOpenHost(r); err != nil {
		return Ticket{}, err
	}
	if err := s.quarantine.Check(now, r, s.placer.HostCount(r.Pool())); err != nil {
		return Ticket{}, err
	}
	l := s.pool(r.Pool())
	if err := l.queue.Admit(now, r); err != nil {
		return Ticket{}, err
	}
	return Ticket{r.Pool(), l.queue.Push(now, r)}, nil
}

// Requeue queues a request again that was admitted before. Avoid lists the hosts
// on which it failed.
func (s *Scheduler) Requeue(now time.Time, r rock.Request, avoid []string) (Ticket, error) {
	if err := s.requireOpenHost(r); err != nil {
		return Ticket{}, err
	}
	l := s.pool(r.Pool())
	t := l.queue.Push(now, r)
	if len(avoid) > 0 {
		l.avoidHosts[t] = avoid
	}
	return Ticket{r.Pool(), t}, nil
}

// requireOpenHost refuses a request whose pool has no open host.
func (s *Scheduler) requireOpenHost(r rock.Request) error {
	if slots, _ := s.placer.Slots(r.Pool()); slots > 0 {
		return nil
	}
	return rock.Fail("admit", "pool "+r.Pool(), rock.NoHost, rock.NotRun).Becausef("the pool has no open host in zone %s", s.settings.Place.Zone)
}

// Retry decides on a request whose last attempt, noted in its history, failed
// with err. It returns nil if the request is to be resumed, and otherwise the
// failure with which the request ends.
func (s *Scheduler) Retry(now time.Time, r rock.Request, h *retry.History, err error) error {
	if rock.ReasonOf(err) == rock.WorkFailed && s.quarantine.Contains(r, s.placer.HostCount(r.Pool())) {
		return h.FinalError(rock.Fail("run", "request "+r.ID(), rock.Quarantined, rock.VerdictOf(err)).Because(err))
	}
	if h.FailedAttempts() >= s.settings.MaxAttempts || !h.Retryable(err) || !now.Before(r.Deadline()) {
		return h.FinalError(err)
	}
	if !s.pool(r.Pool()).budget.TryWithdraw(now) {
		return h.FinalError(err)
	}
	return nil
}

// Withdraw takes a request out of its queue. It returns false if the request
// was granted a host already.
func (s *Scheduler) Withdraw(t Ticket) bool {
	l := s.pool(t.pool)
	delete(l.avoidHosts, t.number)
	return l.queue.Remove(t.number)
}

// RemoveUnservable takes all requests out of the queue of a pool that has no open host
// left in the zone, and returns their tickets.
func (s *Scheduler) RemoveUnservable(pool string) []Ticket {
	if slots, _ := s.placer.Slots(pool); slots > 0 {
		return nil
	}
	l := s.pool(pool)
	var stranded []Ticket
	for {
		_, t, ok := l.queue.Pop()
		if !ok {
			return stranded
		}
		delete(l.avoidHosts, t)
		stranded = append(stranded, Ticket{pool, t})
	}
}

// RemoveLate takes the requests out of the pool's queue that have too little time
// left to be run, and returns their tickets.
func (s *Scheduler) RemoveLate(now time.Time, pool string) []Ticket {
	l := s.pool(pool)
	var late []Ticket
	for _, t := range l.queue.RemoveLate(now) {
		delete(l.avoidHosts, t)
		late = append(late, Ticket{pool, t})
	}
	return late
}

// GrantNext grants a host to the next request of the pool. It returns false if
// none waits or no host is free.
func (s *Scheduler) GrantNext(now time.Time, pool string) (Grant, bool) {
	l := s.pool(pool)
	r, t, ok := l.queue.Peek()
	if !ok {
		return Grant{}, false
	}
	host, err := s.placer.Choose(now, pool, l.avoidHosts[t])
	if err != nil && len(l.avoidHosts[t]) > 0 {
		host, err = s.placer.Choose(now, pool, nil)
	}
	if err != nil {
		return Grant{}, false
	}
	l.queue.Pop()
	delete(l.avoidHosts, t)
	l.inFlight++
	s.updateCapacity(pool, l)
	return Grant{Ticket{pool, t}, r, host}, true
}

// Finish takes back a grant whose request took that long on the host and
// ended with err.
func (s *Scheduler) Finish(now time.Time, g Grant, took time.Duration, err error) {
	l := s.pool(g.ticket.pool)
	l.inFlight--
	s.placer.Done(now, g.host.Name(), took, s.hostOutcome(now, l, g, took, err))
	s.recordOutcome(now, l, took, err)
	s.updateCapacity(g.ticket.pool, l)
}

// recordOutcome notes how a request of the lane ended.
func (s *Scheduler) recordOutcome(now time.Time, l *poolState, took time.Duration, err error) {
	switch {
	case err == nil:
		l.budget.RecordSuccess(now)
		l.queue.ObserveRun(now, took)
	case rock.ReasonOf(err) == rock.DeadlineExceeded && rock.VerdictOf(err) == rock.MayHaveRun:
		l.queue.ObserveTimeout(now, took)
	case rock.VerdictOf(err) == rock.MayHaveRun:
		l.queue.ObserveFailure(now)
	}
}

// hostOutcome returns the outcome as it is held against the host. The failure of
// work that failed elsewhere before is not, and neither is a deadline that cut
// off a run of usual length.
func (s *Scheduler) hostOutcome(now time.Time, l *poolState, g Grant, took time.Duration, err error) error {
	excused := rock.Fail("run", "request "+g.request.ID(), rock.Cancelled, rock.VerdictOf(err))
	switch rock.ReasonOf(err) {
	case rock.DeadlineExceeded:
		if l.queue.IsTypical(took) {
			return excused.Because(err)
		}
	case rock.WorkFailed, "":
		blame := s.quarantine.Record(now, g.request, g.host.Name(), err != nil)
		if err != nil && !blame {
			return excused.Because(err)
		}
	}
	return err
}

// Refused reports whether err is the refusal of a target that takes no work at
// the moment. The request is then resumed, without regard to its attempts.
func Refused(err error) bool { return place.Refused(err) }

// SetLeavingHosts tells the scheduler which hosts the platform lists as leaving.
func (s *Scheduler) SetLeavingHosts(now time.Time, names []string) { s.placer.SetLeaving(now, names) }

// WaitingPools returns the names of the pools with waiting requests, in order.
func (s *Scheduler) WaitingPools() []string {
	var names []string
	for name, l := range s.pools {
		if l.queue.Len() > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Load returns the load of the pool, with the predicted wait of the class.
func (s *Scheduler) Load(pool string, class rock.Class) rock.PoolLoad {
	l := s.pool(pool)
	slots, _ := s.placer.Slots(pool)
	return rock.NewPoolLoad(pool, l.inFlight, l.queue.Len(), slots, l.queue.PredictedWait(class))
}

// MeanRunTime returns the mean run time of the pool's requests.
func (s *Scheduler) MeanRunTime(pool string) time.Duration { return s.pool(pool).queue.MeanRunTime() }

// Loads returns the load of each pool that has hosts in the zone.
func (s *Scheduler) Loads() []rock.PoolLoad {
	var loads []rock.PoolLoad
	for _, name := range s.placer.Pools() {
		loads = append(loads, s.Load(name, rock.Normal))
	}
	return loads
}

// EjectedHosts returns the names of the pool's hosts that are ejected at that time.
func (s *Scheduler) EjectedHosts(now time.Time, pool string) []string {
	return s.placer.Ejected(now, pool)
}

// InFlightOnClosed returns the tasks in flight on each host that takes no new work,
// zeros included.
func (s *Scheduler) InFlightOnClosed() map[string]int { return s.placer.InFlightOnClosed() }

// pool returns the lane of the pool.
func (s *Scheduler) pool(pool string) *poolState {
	l := s.pools[pool]
	if l == nil {
		settings := s.settings.Queue
		settings.Pool = pool
		l = &poolState{
			queue:      queue.New(settings),
			budget:     retry.Budget{RetriesPerSuccess: s.settings.RetriesPerSuccess, Unlimited: s.settings.UnlimitedRetries},
			avoidHosts: map[queue.Ticket][]string{},
		}
		s.pools[pool] = l
		s.updateCapacity(pool, l)
	}
	return l
}

// updateCapacity tells the queue the width of its pool.
func (s *Scheduler) updateCapacity(pool string, l *poolState) {
	slots, _ := s.placer.Slots(pool)
	l.queue.SetCapacity(slots, l.inFlight)
}
