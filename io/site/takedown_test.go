package site

import (
	"context"
	"errors"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/maint"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"gotest.tools/v3/assert"
)

// replyingHosts answers each order for a host with the same reply.
type replyingHosts struct {
	rock.HostControl
	reply  rock.Reply
	err    error
	orders int
}

func (h *replyingHosts) Move(context.Context, rock.DutyHolder, string, string) (rock.Reply, error) {
	h.orders++
	return h.reply, h.err
}

func (h *replyingHosts) Maintain(context.Context, rock.DutyHolder, string, int64) (rock.Reply, error) {
	h.orders++
	return h.reply, h.err
}

// decidingStore is a store during whose writes the owner of a cell makes a decision.
type decidingStore struct {
	*orderStore
	decide func(ctx context.Context)
}

func (s *decidingStore) Apply(ctx context.Context, t rock.Transaction) (uint64, error) {
	s.decide(ctx)
	return s.orderStore.Apply(ctx, t)
}

// startsOf makes a decision, stores its placements, and returns the number of starts
// that follow. The only worker w1 answers before.
func startsOf(now, began time.Time, c *cell.Cell) int {
	c.HandleReport(now, now, "w1", rock.Report{Clock: now.Sub(began), WorkerStartedAt: began})
	orders := c.Decide(now, now)
	c.Flushed(now, c.Flush(now))
	starts := 0
	for _, o := range append(orders, c.Decide(now, now)...) {
		if o.Kind == cell.OrderStart {
			starts++
		}
	}
	return starts
}

// TestNothingStartsOnAHostThatIsTakenDown guards against a task that is started on an empty
// worker and lost, because its host is ordered to move or to be maintained meanwhile.
func TestNothingStartsOnAHostThatIsTakenDown(t *testing.T) {
	t.Parallel()
	host := rock.PlatformHost{Name: "h1", Pool: "a", Phase: rock.HostUp, Worker: "w1"}
	kinds := map[string]func(ctx context.Context, m *hostManager) error{
		"move": func(ctx context.Context, m *hostManager) error {
			m.departures["h1"] = departure{to: "b", since: m.owner.site.now()}
			return m.moveEmptyHosts(ctx, []rock.PlatformHost{host})
		},
		"maintenance": func(ctx context.Context, m *hostManager) error {
			state := maint.State{Claims: map[string]maint.Claim{"h1": {}}}
			_, err := m.orderMaintenance(ctx, rock.MaintenanceWave{Number: 1}, state, map[string]rock.PlatformHost{"h1": host})
			return err
		},
	}
	steps := map[string]works.Step{
		"ordinary":   {Count: 1, Need: rock.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second},
		"persistent": {Count: 1, Need: rock.Resources{MilliCores: 1000, MemoryMB: 100}, Persistent: true},
	}
	orders := map[string]struct {
		reply    rock.Reply
		err      error
		storeErr error
		sent     int
		// from and to bound when the task starts after the order.
		from, to time.Duration
	}{
		"accepted":       {sent: 1, from: tenure.LeaseDuration, to: 4 * time.Second},
		"refused":        {reply: rock.Reply{Refusal: rock.RefusedBusy}, sent: 1, to: 100 * time.Millisecond},
		"not received":   {err: rock.Fail("move", "h1", rock.Overloaded, rock.NotRun), sent: 1, to: 100 * time.Millisecond},
		"no answer":      {err: errors.New("timeout"), sent: 1, from: tenure.LeaseDuration, to: 4 * time.Second},
		"cannot be sent": {storeErr: errors.New("the part is down"), to: 100 * time.Millisecond},
	}
	for kind, order := range kinds {
		for stepName, step := range steps {
			for name, c := range orders {
				t.Run(kind+", "+stepName+", "+name, func(t *testing.T) {
					t.Parallel()
					began := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
					clock := began
					hosts := &replyingHosts{reply: c.reply, err: c.err}
					store := &decidingStore{orderStore: &orderStore{rows: map[string][]byte{}, fail: c.storeErr}}
					s := &Site{settings: Settings{Clock: func() time.Time { return clock }, Hosts: hosts, Store: store}}
					state := cell.New(cell.Settings{Pool: "a", Fence: 7, LeaseDuration: 4 * time.Second})
					state.SetQueues([]works.Queue{{Name: "q", Pool: "a", Attempts: 2, Stretch: 2, Objective: time.Second}})
					state.SetWorkers(clock, []rock.Worker{{
						ID: "w1", Address: "10.0.0.1:80", Pool: "a", State: rock.WorkerReady, Capacity: rock.Resources{MilliCores: 4000, MemoryMB: 8000}, StartedAt: began, ReadAt: began,
					}})
					assert.Equal(t, startsOf(clock, began, state), 0)
					state.SetClosing(map[string]bool{"w1": true})
					state.AddJob(clock, works.Job{ID: "j", Queue: "q", Accepted: clock, Spec: works.Spec{Steps: []works.Step{step}}}, 9)
					clock = clock.Add(1300 * time.Millisecond) // from now on it may be placed on a worker that is drained
					o := &cellOwner{
						site: s, pool: "a", events: make(chan func(time.Time)), log: logs.Discard().WithField("cell", "a"), state: state,
						lease: tenure.NewLease(tenure.Record{}, []tenure.AcquiredHome{{Version: 1, SentAt: clock}}),
					}
					m := newHostManager(o)
					m.inPoolSince["h1"] = clock.Add(-time.Minute)
					starts := 0
					store.decide = func(ctx context.Context) {
						done := make(chan bool)
						o.enqueue(ctx, func(now time.Time) {
							starts += startsOf(now, began, state)
							close(done)
						})
						<-done
					}
					g := group.New(t.Context())
					g.Go("events", func(ctx context.Context) error {
						for {
							select {
							case event := <-o.events:
								event(clock)
							case <-ctx.Done():
								return nil
							}
						}
					})
					_ = order(t.Context(), m) // it returns an error if the order has no reply
					g.Stop()
					assert.NilError(t, g.Wait())
					assert.Equal(t, hosts.orders, c.sent)
					assert.Equal(t, starts, 0, "the task is started before the order")
					ordered := clock
					for startsOf(clock, began, state) == 0 && clock.Sub(ordered) < time.Minute {
						clock = clock.Add(50 * time.Millisecond)
					}
					after := clock.Sub(ordered)
					assert.Assert(t, after >= c.from && after <= c.to, "the task is started after %v", after)
				})
			}
		}
	}
}

// TestDownHostIsOrderedRarely guards against a write and a refused call in each round, for as
// long as a claimed host is down.
func TestDownHostIsOrderedRarely(t *testing.T) {
	t.Parallel()
	refused := rock.Reply{Refusal: rock.RefusedBusy}
	cases := map[string]struct {
		phase rock.HostPhase
		reply rock.Reply
		// then is the phase after 10 s, when all orders are accepted.
		then rock.HostPhase
		// most bounds the orders in the 10 s, and within the time to the next one.
		most   int
		within time.Duration
	}{
		"down":           {rock.HostDown, refused, rock.HostDown, 6, 2 * time.Second},
		"moving":         {rock.HostMoving, refused, rock.HostMoving, 6, 2 * time.Second},
		"up again":       {rock.HostDown, refused, rock.HostUp, 6, 0},
		"up":             {rock.HostUp, refused, rock.HostUp, 50, 0},
		"was maintained": {rock.HostDown, rock.Reply{}, rock.HostDown, 50, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			hosts := &replyingHosts{reply: c.reply}
			s := &Site{settings: Settings{Clock: func() time.Time { return clock }, Hosts: hosts, Store: &orderStore{rows: map[string][]byte{}}}}
			o := &cellOwner{site: s, pool: "a", events: make(chan func(time.Time)), log: logs.Discard().WithField("cell", "a"), state: cell.New(cell.Settings{Pool: "a"})}
			m := newHostManager(o)
			m.inPoolSince["h1"] = clock.Add(-time.Minute)
			g := group.New(t.Context())
			g.Go("events", func(ctx context.Context) error {
				for {
					select {
					case event := <-o.events:
						o.lease = tenure.NewLease(tenure.Record{}, []tenure.AcquiredHome{{Version: 1, SentAt: clock}})
						event(clock)
					case <-ctx.Done():
						return nil
					}
				}
			})
			round := func(phase rock.HostPhase) bool {
				state := maint.State{Claims: map[string]maint.Claim{"h1": {}}}
				host := rock.PlatformHost{Name: "h1", Pool: "a", Phase: phase}
				ordered, err := m.orderMaintenance(t.Context(), rock.MaintenanceWave{Number: 1}, state, map[string]rock.PlatformHost{"h1": host})
				assert.NilError(t, err)
				_, err = m.snapshot(t.Context(), nil, withoutLoad) // all events are handled then
				assert.NilError(t, err)
				clock = clock.Add(hostInterval)
				return len(ordered) > 0
			}
			for end := clock.Add(10 * time.Second); clock.Before(end); {
				round(c.phase)
			}
			assert.Assert(t, hosts.orders > 0 && hosts.orders <= c.most, "%d orders", hosts.orders)
			hosts.reply = rock.Reply{}
			began := clock
			accepted := false
			for !accepted && clock.Sub(began) < time.Minute {
				accepted = round(c.then)
			}
			assert.Assert(t, clock.Sub(began) <= c.within+hostInterval, "accepted after %v", clock.Sub(began))
			g.Stop()
			assert.NilError(t, g.Wait())
		})
	}
}
