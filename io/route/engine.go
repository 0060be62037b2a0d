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

// Engine runs the requests that an entry accepts. It is safe for concurrent use.
type Engine struct {
	settings       Settings
	keyring        *claim.Keyring
	keys           *keyRegistry
	closings       *closingRecords
	claimRows      *claimRows
	waitHistograms sync.Map      // tally.Histogram by pool name
	lastTask       atomic.Uint64 // number in the newest task id
	placing        atomic.Bool   // whether MayPlace has returned true

	mu       sync.Mutex
	sched    *sched.Scheduler
	forwards sched.ForwardCounts              // requests forwarded since each peer's last heartbeat
	waiters  map[sched.Ticket]chan waitResult // queued requests
	active   int                              // requests in progress
	draining bool                             // new requests are refused
	// idle is closed once the engine is draining and the last request has ended.
	idle chan struct{}
}

// New returns an engine and starts its background tasks in the group.
func New(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{
		settings: s,
		keyring:  claim.NewKeyring(s.Secret),
		keys:     newKeyRegistry(s.KeyLimits),
		closings: newClosingRecords(s.ObjectStore),
		sched: sched.New(sched.Settings{
			Place:       place.Settings{Zone: s.Member.Zone(), Random: s.Random},
			Queue:       queue.Settings{MaxWaiting: s.Limits.MaxWaiting},
			MaxAttempts: s.Limits.MaxAttempts,
		}),
		waiters: map[sched.Ticket]chan waitResult{},
		idle:    make(chan struct{}),
	}
	s.Group.Go("route", e.dispatchPeriodically)
	s.Group.Go("route report", e.reportPools)
	if s.Table != nil {
		e.claimRows = newClaimRows(s.Table, s.Limits.CallerKeysPerSecond)
		s.Group.Go("claim rows", e.claimRows.run)
		s.Group.Go("claim row sweep", e.sweepClaimRows)
	}
	if s.HostList != nil {
		s.Group.Go("host list", e.followHostList)
	}
	return e
}

// dispatchPeriodically dispatches the waiting requests of all pools, because a
// host may become usable without any event: it is not used for a time after it
// refused a task.
func (e *Engine) dispatchPeriodically(ctx context.Context) error {
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

// refresh passes the newest configuration to the scheduler. It fails if no
// configuration is known yet. The caller holds e.mu.
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

// mayPlace reports whether the entry may place tasks on the hosts of its zone.
// Until then the scheduler has no hosts.
func (e *Engine) mayPlace() bool {
	if !e.placing.Load() && e.settings.MayPlace() {
		e.placing.Store(true)
	}
	return e.placing.Load()
}

// dispatch assigns free hosts to the waiting requests of the pool. If the pool
// has no open host left, all its waits end with NoHost, so that the requests can
// be forwarded. Requests that have too little time left to run are refused. The
// caller holds e.mu.
func (e *Engine) dispatch(pool string) {
	now := e.settings.Now()
	if e.refresh(now) != nil {
		return
	}
	for _, t := range e.sched.RemoveUnservable(pool) {
		e.endWait(t, waitResult{err: noHostFailure(pool)})
	}
	for _, t := range e.sched.RemoveLate(now, pool) {
		e.endWait(t, waitResult{err: lateFailure(pool)})
	}
	for {
		g, ok := e.sched.GrantNext(now, pool)
		if !ok {
			return
		}
		e.endWait(g.Ticket(), waitResult{grant: g})
	}
}

// endWait ends the wait of a request with a result. The caller holds e.mu.
func (e *Engine) endWait(t sched.Ticket, result waitResult) {
	e.waiters[t] <- result
	delete(e.waiters, t)
}

// beginRequest counts a request as active, or refuses it if the engine is
// draining. Each success must be followed by a call of endRequest.
func (e *Engine) beginRequest() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return rock.Fail("route", "entry "+e.settings.Member.Name(), rock.Leaving, rock.NotRun).RetryIn(time.Second)
	}
	e.active++
	return nil
}

// endRequest ends a request that beginRequest counted as active.
func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.draining && e.active == 0 {
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

// InFlight returns the number of tasks in flight on each host of the zone that
// is closed to new work, including hosts with none.
func (e *Engine) InFlight(now time.Time) map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refresh(now) != nil {
		return nil
	}
	return e.sched.InFlightOnClosed()
}

// newTaskID returns a unique task id for an attempt to run the request.
func (e *Engine) newTaskID(r rock.Request) string {
	return fmt.Sprintf("%s.%s.%d", r.ID(), e.settings.Member.Name(), e.lastTask.Add(1))
}
