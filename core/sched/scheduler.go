package sched

import (
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/place"
	"bramleyrock/core/queue"
)

// Scheduler schedules the requests of one entry. It is not safe for
// concurrent use.
type Scheduler struct {
	settings Settings
	fleet    rock.Fleet
	placer   *place.Placer
	lanes    map[string]*lane
}

// New returns a scheduler that knows no configuration yet.
func New(s Settings) *Scheduler {
	return &Scheduler{settings: s, placer: place.New(s.Place), lanes: map[string]*lane{}}
}

// Update puts a newer configuration in use; an older one is ignored.
func (s *Scheduler) Update(now time.Time, fleet rock.Fleet) {
	if s.fleet != nil && fleet.Revision() <= s.fleet.Revision() {
		return
	}
	s.fleet = fleet
	s.placer.Update(now, fleet)
	for pool, l := range s.lanes {
		s.adjust(pool, l)
	}
}

// Submit admits a request to the queue of its pool. Avoid lists hosts that
// were tried before. A refusal has verdict [rock.NotRun].
func (s *Scheduler) Submit(now time.Time, r rock.Request, avoid []string) (Ticket, error) {
	if slots, _ := s.placer.Slots(r.Pool()); slots == 0 {
		return Ticket{}, rock.Fail("admit", "pool "+r.Pool(), rock.NoHost, rock.NotRun).Becausef("the pool has no open host in zone %s", s.settings.Place.Zone)
	}
	l := s.lane(r.Pool())
	if err := l.queue.Admit(now, r); err != nil {
		return Ticket{}, err
	}
	t := l.queue.Push(r)
	if len(avoid) > 0 {
		l.avoid[t] = avoid
	}
	return Ticket{r.Pool(), t}, nil
}

// Withdraw takes a request out of its queue. It returns false if the request
// was granted a host already.
func (s *Scheduler) Withdraw(t Ticket) bool {
	l := s.lane(t.pool)
	delete(l.avoid, t.number)
	return l.queue.Remove(t.number)
}

// Next grants a host to the next request of the pool. It returns false if
// none waits or no host is free.
func (s *Scheduler) Next(now time.Time, pool string) (Grant, bool) {
	l := s.lane(pool)
	r, t, ok := l.queue.Peek()
	if !ok {
		return Grant{}, false
	}
	host, err := s.placer.Choose(now, pool, l.avoid[t])
	if err != nil && len(l.avoid[t]) > 0 {
		host, err = s.placer.Choose(now, pool, nil)
	}
	if err != nil {
		return Grant{}, false
	}
	l.queue.Remove(t)
	delete(l.avoid, t)
	l.inFlight++
	s.adjust(pool, l)
	return Grant{Ticket{pool, t}, r, host}, true
}

// Finish takes back a grant whose request took that long on the host and
// ended with err.
func (s *Scheduler) Finish(now time.Time, g Grant, took time.Duration, err error) {
	l := s.lane(g.ticket.pool)
	l.inFlight--
	s.placer.Done(now, g.host.Name(), took, err)
	if err == nil {
		l.queue.Observe(took)
	}
	s.adjust(g.ticket.pool, l)
}

// Waiting returns the names of the pools with waiting requests, in order.
func (s *Scheduler) Waiting() []string {
	var names []string
	for name, l := range s.lanes {
		if l.queue.Len() > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Load returns the load of the pool.
func (s *Scheduler) Load(pool string) rock.PoolLoad {
	l := s.lane(pool)
	slots, _ := s.placer.Slots(pool)
	return rock.NewPoolLoad(pool, l.inFlight, l.queue.Len(), slots, l.queue.Wait(rock.Normal))
}

// Loads returns the load of each pool that has hosts in the zone.
func (s *Scheduler) Loads() []rock.PoolLoad {
	var loads []rock.PoolLoad
	for _, name := range s.placer.Pools() {
		loads = append(loads, s.Load(name))
	}
	return loads
}

// Closed returns the tasks in flight on each host that takes no new work,
// zeros included.
func (s *Scheduler) Closed() map[string]int { return s.placer.Closed() }

// lane returns the lane of the pool.
func (s *Scheduler) lane(pool string) *lane {
	l := s.lanes[pool]
	if l == nil {
		settings := s.settings.Queue
		settings.Pool = pool
		l = &lane{queue: queue.New(settings), avoid: map[queue.Ticket][]string{}}
		s.lanes[pool] = l
		s.adjust(pool, l)
	}
	return l
}

// adjust tells the queue the width of its pool.
func (s *Scheduler) adjust(pool string, l *lane) {
	slots, _ := s.placer.Slots(pool)
	l.queue.Adjust(slots, l.inFlight)
}
