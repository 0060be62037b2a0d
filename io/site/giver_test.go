package site

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// virtualClock is a clock that calls advance.
type virtualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *virtualClock) advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

func (c *virtualClock) read() time.Time { return c.advance(0) }

// fleetHosts is a platform that lists hosts and carries out moves. Each call advances the
// clock.
type fleetHosts struct {
	rock.HostControl
	clock *virtualClock
	// perOrder is how long an order takes, and refuse decides its outcome; nil accepts.
	perOrder time.Duration
	refuse   func(order int) error

	mu    sync.Mutex
	hosts []rock.PlatformHost
	// ordered holds when each order was sent, and refused when a host was last refused.
	ordered []time.Time
	refused map[string]time.Time
	moved   map[string]bool
	// longestRefusal is the longest time from a refusal to the next order for the host.
	longestRefusal time.Duration
}

func (f *fleetHosts) Hosts(context.Context) ([]rock.PlatformHost, error) {
	f.clock.advance(20 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]rock.PlatformHost(nil), f.hosts...), nil
}

func (f *fleetHosts) Move(ctx context.Context, _ rock.DutyHolder, host, pool string) (rock.Reply, error) {
	now := f.clock.advance(f.perOrder)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ordered = append(f.ordered, now)
	if at, ok := f.refused[host]; ok {
		f.longestRefusal = max(f.longestRefusal, now.Sub(at))
		delete(f.refused, host)
	}
	if f.refuse != nil {
		if err := f.refuse(len(f.ordered)); err != nil {
			if rock.VerdictOf(err) == rock.NotRun {
				f.refused[host] = now
			}
			return rock.Reply{}, err
		}
	}
	if ctx.Err() != nil {
		return rock.Reply{}, rock.Fail("move", host, rock.OutcomeUnknown, rock.MayHaveRun).Because(ctx.Err())
	}
	for i := range f.hosts {
		if f.hosts[i].Name == host {
			f.hosts[i].Pool = pool
		}
	}
	f.moved[host] = true
	return rock.Reply{}, nil
}

// newGiver returns the manager of a pool with many empty hosts, two thirds of which another
// pool gets. The owner's loop takes perEvent for each event.
func newGiver(t *testing.T, hosts int, perEvent time.Duration, f *fleetHosts) *hostManager {
	t.Helper()
	start := f.clock.read()
	f.moved, f.refused = map[string]bool{}, map[string]time.Time{}
	for i := range hosts {
		f.hosts = append(f.hosts, rock.PlatformHost{Name: fmt.Sprintf("h%03d", i), Pool: "a", Phase: rock.HostUp, Worker: fmt.Sprintf("w%03d", i), Capacity: rock.Resources{MilliCores: 32000}})
	}
	store := &orderStore{rows: map[string][]byte{}}
	s := New(Settings{Clock: f.clock.read, MinHolderGap: 3 * time.Second, Hosts: f, Store: store, Log: logs.Discard(), Scope: tally.NoopScope})
	s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}, {Name: "b"}}}, 1)
	s.view.withCell("b", func(c *cellView) {
		c.renewal, c.renewalAt = renewal{HasLoad: true, RequiredCores: float64(32 * hosts)}, start
	})
	zero := start.Add(-1000 * time.Second)
	o := &cellOwner{
		site: s, cell: "a", pool: "a", log: s.log, events: make(chan func(time.Time), maxEvents), state: cell.New(cell.Settings{Pool: "a"}),
		tableEpochEarliest: zero, tableEpochLatest: zero,
	}
	o.group = group.New(t.Context())
	o.group.Go("events", func(ctx context.Context) error {
		for {
			select {
			case event := <-o.events:
				now := f.clock.advance(perEvent)
				o.lease = tenure.NewLease(tenure.Record{}, []tenure.AcquiredHome{{Version: 1, SentAt: now}})
				event(now)
			case <-ctx.Done():
				return nil
			}
		}
	})
	t.Cleanup(func() {
		o.group.Stop()
		assert.NilError(t, o.group.Wait())
	})
	return newHostManager(o)
}

// TestGiverDoesNotPause guards against a pool that gives no hosts for seconds while
// another one waits for hundreds of them. Its owner has little CPU: a round with all its
// orders took so long that the hosts counted as not listed, and had to wait for the least
// gap between the orders of two holders.
func TestGiverDoesNotPause(t *testing.T) {
	t.Parallel()
	for name, perEvent := range map[string]time.Duration{"idle": 0, "busy": 100 * time.Millisecond, "in a surge": 250 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
			f := &fleetHosts{clock: &virtualClock{now: start}, perOrder: 10 * time.Millisecond}
			m := newGiver(t, 400, perEvent, f)
			for f.clock.read().Sub(start) < time.Minute && len(f.moved) < 240 {
				_ = m.reconcile(t.Context()) // a round may fail, the next one goes on
				f.clock.advance(hostInterval)
			}
			assert.Assert(t, len(f.moved) >= 240, "%d hosts have moved", len(f.moved))
			longest := time.Duration(0)
			for i := 1; i < len(f.ordered); i++ {
				longest = max(longest, f.ordered[i].Sub(f.ordered[i-1]))
			}
			assert.Assert(t, longest < maxListGap+time.Second, "no host was ordered for %v", longest)
		})
	}
}

// TestRefusedOrdersAreRepeated guards against hosts that stay because an order for another
// host failed, or because the platform takes no more orders in this second.
func TestRefusedOrdersAreRepeated(t *testing.T) {
	t.Parallel()
	cases := map[string]func(order int) error{
		"too many in a second": func(order int) error {
			if order%5 == 0 {
				return rock.Fail("move", "h", rock.Overloaded, rock.NotRun)
			}
			return nil
		},
		"an answer is lost": func(order int) error {
			if order%5 == 0 {
				return rock.Fail("move", "h", rock.OutcomeUnknown, rock.MayHaveRun)
			}
			return nil
		},
	}
	for name, refuse := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
			f := &fleetHosts{clock: &virtualClock{now: start}, perOrder: 10 * time.Millisecond, refuse: refuse}
			m := newGiver(t, 60, 0, f)
			for f.clock.read().Sub(start) < 12*time.Second && len(f.moved) < 36 {
				_ = m.reconcile(t.Context())
				f.clock.advance(hostInterval)
			}
			assert.Assert(t, len(f.moved) >= 36, "%d hosts have moved", len(f.moved))
			assert.Assert(t, f.longestRefusal < time.Second, "a refused order was repeated after %v", f.longestRefusal)
		})
	}
}

// TestParallelOrders checks that the rate of the platform is used, and that a small rate
// does not make orders wait for one another.
func TestParallelOrders(t *testing.T) {
	for rate, want := range map[float64]int{0: 4, 64: 4, 590: 9, 5000: 16} {
		assert.Equal(t, parallelOrders(rate), want, "%v a second", rate)
	}
}
