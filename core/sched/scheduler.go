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

// New returns a scheduler without a configuration; see [Scheduler.Update].
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

// Update applies a configuration. It ignores one whose revision is not newer
// than the current one.
func (s *Scheduler) Update(now time.Time, fleet rock.Fleet) {
	if s.fleet != nil && fleet.Revision() <= s.fleet.Revision() {
		return
	}
	s.fleet = fleet
	s.placer.Update(now, fleet)
	for pool, p := range s.pools {
		s.updateCapacity(pool, p)
	}
}

// Submit admits a request to the queue of its pool. It refuses the request, with
// verdict [rock.NotRun], if the pool has no open host, the request is
// quarantined, or the queue does not admit it.
func (s *Scheduler) Submit(now time.Time, r rock.Request) (Ticket, error) {
	if err := s.requireOpenHost(r); err != nil {
		return Ticket{}, err
	}
	if err := s.quarantine.Check(now, r, s.placer.HostCount(r.Pool())); err != nil {
		return Ticket{}, err
	}
	p := s.pool(r.Pool())
	if err := p.queue.Admit(now, r); err != nil {
		return Ticket{}, err
	}
	return Ticket{r.Pool(), p.queue.Push(now, r)}, nil
}

// Requeue puts a request that was admitted before back into its queue. Avoid
// lists the hosts on which it was tried; they are used only if no other host is
// free. The only refusal is that of a pool without open hosts.
func (s *Scheduler) Requeue(now time.Time, r rock.Request, avoid []string) (Ticket, error) {
	if err := s.requireOpenHost(r); err != nil {
		return Ticket{}, err
	}
	p := s.pool(r.Pool())
	t := p.queue.Push(now, r)
	if len(avoid) > 0 {
		p.avoidHosts[t] = avoid
	}
	return Ticket{r.Pool(), t}, nil
}

// requireOpenHost refuses a request whose pool has no open slots in the zone.
func (s *Scheduler) requireOpenHost(r rock.Request) error {
	if slots, _ := s.placer.Slots(r.Pool()); slots > 0 {
		return nil
	}
	return rock.Fail("admit", "pool "+r.Pool(), rock.NoHost, rock.NotRun).Becausef("the pool has no open host in zone %s", s.settings.Place.Zone)
}

// Retry decides whether to retry a request whose last attempt failed with err;
// the failure must have been recorded in the history. It returns nil if the
// request should be passed to [Scheduler.Requeue], and otherwise the error with
// which the request ends.
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

// Withdraw removes a request from its queue. It returns false if the request
// does not wait any more, as when it was granted a host.
func (s *Scheduler) Withdraw(t Ticket) bool {
	p := s.pool(t.pool)
	delete(p.avoidHosts, t.number)
	return p.queue.Remove(t.number)
}

// RemoveUnservable empties the queue of a pool that has no open slots left in the
// zone and returns the tickets of the removed requests. If the pool has open
// slots, it does nothing.
func (s *Scheduler) RemoveUnservable(pool string) []Ticket {
	if slots, _ := s.placer.Slots(pool); slots > 0 {
		return nil
	}
	p := s.pool(pool)
	var removed []Ticket
	for {
		_, t, ok := p.queue.Pop()
		if !ok {
			return removed
		}
		delete(p.avoidHosts, t)
		removed = append(removed, Ticket{pool, t})
	}
}

// RemoveLate removes the requests from the pool's queue that have too little time
// left before their deadlines to be run, and returns their tickets; see
// [queue.Queue.RemoveLate].
func (s *Scheduler) RemoveLate(now time.Time, pool string) []Ticket {
	p := s.pool(pool)
	var removed []Ticket
	for _, t := range p.queue.RemoveLate(now) {
		delete(p.avoidHosts, t)
		removed = append(removed, Ticket{pool, t})
	}
	return removed
}

// GrantNext removes the next request from the pool's queue and grants it a host.
// It returns false if no request waits or no host is free.
func (s *Scheduler) GrantNext(now time.Time, pool string) (Grant, bool) {
	p := s.pool(pool)
	r, t, ok := p.queue.Peek()
	if !ok {
		return Grant{}, false
	}
	host, err := s.placer.Choose(now, pool, p.avoidHosts[t])
	if err != nil && len(p.avoidHosts[t]) > 0 {
		host, err = s.placer.Choose(now, pool, nil)
	}
	if err != nil {
		return Grant{}, false
	}
	p.queue.Pop()
	delete(p.avoidHosts, t)
	p.inFlight++
	s.updateCapacity(pool, p)
	return Grant{Ticket{pool, t}, r, host}, true
}

// Finish returns a grant whose request ran for the time took on the host and
// ended with err, which is nil if it succeeded. It updates the statistics of the
// host and of the pool.
func (s *Scheduler) Finish(now time.Time, g Grant, took time.Duration, err error) {
	p := s.pool(g.ticket.pool)
	p.inFlight--
	s.placer.Done(now, g.host.Name(), took, s.hostOutcome(now, p, g, took, err))
	s.recordOutcome(now, p, took, err)
	s.updateCapacity(g.ticket.pool, p)
}

// recordOutcome updates the retry budget and the run time statistics of the pool
// after a request.
func (s *Scheduler) recordOutcome(now time.Time, p *poolState, took time.Duration, err error) {
	switch {
	case err == nil:
		p.budget.RecordSuccess(now)
		p.queue.ObserveRun(now, took)
	case rock.ReasonOf(err) == rock.DeadlineExceeded && rock.VerdictOf(err) == rock.MayHaveRun:
		p.queue.ObserveTimeout(now, took)
	case rock.VerdictOf(err) == rock.MayHaveRun:
		p.queue.ObserveFailure(now)
	}
}

// hostOutcome returns the outcome of a request that counts for the health of its
// host. Two kinds of failures become cancellations, which do not count against
// the host: that of work which failed on another host before, and a deadline that
// ended a run of typical length.
func (s *Scheduler) hostOutcome(now time.Time, p *poolState, g Grant, took time.Duration, err error) error {
	excused := rock.Fail("run", "request "+g.request.ID(), rock.Cancelled, rock.VerdictOf(err))
	switch rock.ReasonOf(err) {
	case rock.DeadlineExceeded:
		if p.queue.IsTypical(took) {
			return excused.Because(err)
		}
	case rock.WorkFailed, "":
		countsAgainstHost := s.quarantine.Record(now, g.request, g.host.Name(), err != nil)
		if err != nil && !countsAgainstHost {
			return excused.Because(err)
		}
	}
	return err
}

// Refused reports whether err is the refusal of a target that takes no work at
// the moment. The request should then be requeued, and the refusal does not count
// as an attempt.
func Refused(err error) bool { return place.Refused(err) }

// SetLeavingHosts sets the hosts that the platform lists as leaving.
func (s *Scheduler) SetLeavingHosts(now time.Time, names []string) { s.placer.SetLeaving(now, names) }

// WaitingPools returns the names of the pools with waiting requests, sorted.
func (s *Scheduler) WaitingPools() []string {
	var names []string
	for name, p := range s.pools {
		if p.queue.Len() > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Load returns the load of the pool, with the predicted wait of a new request of
// the class.
func (s *Scheduler) Load(pool string, class rock.Class) rock.PoolLoad {
	p := s.pool(pool)
	slots, _ := s.placer.Slots(pool)
	return rock.NewPoolLoad(pool, p.inFlight, p.queue.Len(), slots, p.queue.PredictedWait(class))
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

// EjectedHosts returns the names of the pool's hosts that are ejected at now.
func (s *Scheduler) EjectedHosts(now time.Time, pool string) []string {
	return s.placer.Ejected(now, pool)
}

// InFlightOnClosed returns the number of tasks in flight on each host that takes
// no new work, including hosts with none.
func (s *Scheduler) InFlightOnClosed() map[string]int { return s.placer.InFlightOnClosed() }

// pool returns the state of the named pool. It creates the state at first use.
func (s *Scheduler) pool(pool string) *poolState {
	p := s.pools[pool]
	if p == nil {
		settings := s.settings.Queue
		settings.Pool = pool
		p = &poolState{
			queue:      queue.New(settings),
			budget:     retry.Budget{RetriesPerSuccess: s.settings.RetriesPerSuccess, Unlimited: s.settings.UnlimitedRetries},
			avoidHosts: map[queue.Ticket][]string{},
		}
		s.pools[pool] = p
		s.updateCapacity(pool, p)
	}
	return p
}

// updateCapacity passes the pool's open slots and running requests to its queue.
func (s *Scheduler) updateCapacity(pool string, p *poolState) {
	slots, _ := s.placer.Slots(pool)
	p.queue.SetCapacity(slots, p.inFlight)
}
