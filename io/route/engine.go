package route

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
	"bramleyrock/core/place"
	"bramleyrock/core/queue"
	"bramleyrock/core/sched"
)

// Engine takes requests through an entry. It is safe for concurrent use.
type Engine struct {
	settings Settings
	keyring  *claim.Keyring
	ledger   *ledger
	closings *closings
	rows     *rows
	waits    sync.Map // of tally.Histogram by pool
	tasks    atomic.Uint64
	placing  atomic.Bool

	mu      sync.Mutex
	sched   *sched.Scheduler
	handed  sched.ForwardCounts
	waiters map[sched.Ticket]chan turn
	active  int
	leaving bool
	// idle is closed when the engine is leaving and the last request ended.
	idle chan struct{}
}

// New returns an engine and starts its duty in the group.
func New(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{
		settings: s,
		keyring:  claim.NewKeyring(s.Secret),
		ledger:   newLedger(s.KeyLimits),
		closings: newClosings(s.ObjectStore),
		sched: sched.New(sched.Settings{
			Place:       place.Settings{Zone: s.Member.Zone(), Random: s.Random},
			Queue:       queue.Settings{MaxWaiting: s.Limits.MaxWaiting},
			MaxAttempts: s.Limits.MaxAttempts,
		}),
		waiters: map[sched.Ticket]chan turn{},
		idle:    make(chan struct{}),
	}
	s.Group.Go("route", e.tick)
	s.Group.Go("route report", e.report)
	if s.Table != nil {
		e.rows = newRows(s.Table, s.Limits.CallerKeysPerSecond)
		s.Group.Go("claim rows", e.rows.run)
		s.Group.Go("claim row sweep", e.sweep)
	}
	if s.HostList != nil {
		s.Group.Go("host list", e.followHostList)
	}
	return e
}

// tick grants hosts that were held back for a time.
func (e *Engine) tick(ctx context.Context) error {
	t := time.NewTicker(e.settings.Limits.DispatchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		e.mu.Lock()
		for _, pool := range e.sched.WaitingPools() {
			e.dispatch(pool)
		}
		e.mu.Unlock()
	}
}

// refresh puts the newest configuration in use. The lock is held.
func (e *Engine) refresh(now time.Time) error {
	fleet, ok := e.settings.Fleet.Fleet()
	if !ok {
		return rock.Fail("route", "", rock.Unavailable, rock.NotRun).RetryIn(time.Second).Becausef("no configuration is known yet")
	}
	if e.mayPlace() {
		e.sched.Update(now, fleet)
	}
	return nil
}

// mayPlace reports whether the entry may place on the hosts of its zone. Until
// it may, the scheduler knows no host.
func (e *Engine) mayPlace() bool {
	if !e.placing.Load() && e.settings.MayPlace() {
		e.placing.Store(true)
	}
	return e.placing.Load()
}

// dispatch grants free hosts to the waiting requests of the pool. If the pool
// has no open host left, it sends them away to be run elsewhere; those that have
// no time left to be run are refused. The lock is held.
func (e *Engine) dispatch(pool string) {
	now := e.settings.Now()
	if e.refresh(now) != nil {
		return
	}
	for _, t := range e.sched.RemoveUnservable(pool) {
		e.call(t, turn{err: stranded(pool)})
	}
	for _, t := range e.sched.RemoveLate(now, pool) {
		e.call(t, turn{err: late(pool)})
	}
	for {
		g, ok := e.sched.GrantNext(now, pool)
		if !ok {
			return
		}
		e.call(g.Ticket(), turn{grant: g})
	}
}

// call ends the wait of a request. The lock is held.
func (e *Engine) call(t sched.Ticket, now turn) {
	e.waiters[t] <- now
	delete(e.waiters, t)
}

// enter counts a request in, unless the engine is leaving.
func (e *Engine) enter() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return rock.Fail("route", "entry "+e.settings.Member.Name(), rock.Leaving, rock.NotRun).RetryIn(time.Second)
	}
	e.active++
	return nil
}

// exit counts a request out.
func (e *Engine) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.leaving && e.active == 0 {
		close(e.idle)
	}
}

// Loads returns the load of each pool that has hosts in the entry's zone.
func (e *Engine) Loads(now time.Time) []rock.PoolLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refresh(now) != nil {
		return nil
	}
	return e.sched.Loads()
}

// InFlight returns the tasks in flight on each host of the zone that takes no
// new work, zeros included.
func (e *Engine) InFlight(now time.Time) map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refresh(now) != nil {
		return nil
	}
	return e.sched.InFlightOnClosed()
}

// taskID returns a new task id for an attempt at the request.
func (e *Engine) taskID(r rock.Request) string {
	return fmt.Sprintf("%s.%s.%d", r.ID(), e.settings.Member.Name(), e.tasks.Add(1))
}
