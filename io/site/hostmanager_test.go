package site

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/maint"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// recordingHosts counts the orders for hosts.
type recordingHosts struct {
	rock.HostControl
	orders int
	// announced holds the hosts that were announced when the last order was sent.
	announced []string
	store     *orderStore
	t         *testing.T
}

// orderStore is a store that holds the announced orders for hosts, by part.
type orderStore struct {
	rock.Store
	mu   sync.Mutex
	rows map[string][]byte
	fail error
}

func (s *orderStore) Apply(_ context.Context, t rock.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, _ := splitKey(t.Writes()[0].Key())
	s.rows[part] = t.Writes()[0].Value()
	return 1, s.fail
}

func (s *orderStore) List(_ context.Context, _, part, _, _ string) (rock.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c rock.Changes
	if v, ok := s.rows[part]; ok {
		c.Rows = append(c.Rows, rock.NewRow(key(orderTable, part, orderName), 1, v))
	}
	return c, s.fail
}

// announced returns the sorted names of the hosts with announced orders.
func (s *orderStore) announced(t *testing.T) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, v := range s.rows {
		var row announcedOrdersRow
		assert.NilError(t, cbor.Unmarshal(v, &row))
		names = slices.AppendSeq(names, maps.Keys(row.UntilMS))
	}
	return slices.Sorted(slices.Values(names))
}

func (h *recordingHosts) Move(context.Context, rock.DutyHolder, string, string) (rock.Reply, error) {
	h.recordOrder()
	return rock.Reply{}, nil
}

func (h *recordingHosts) Maintain(context.Context, rock.DutyHolder, string, int64) (rock.Reply, error) {
	h.recordOrder()
	return rock.Reply{}, nil
}

// recordOrder counts an order and records which hosts were announced before it.
func (h *recordingHosts) recordOrder() {
	h.orders++
	h.announced = h.store.announced(h.t)
}

// TestHostOrdersNeedOwnership guards against orders from a former owner. Time passes
// between the decision of an order and its sending, as if the process was suspended. The
// next owner may have ordered the host with a higher fencing token by then.
func TestHostOrdersNeedOwnership(t *testing.T) {
	t.Parallel()
	host := rock.PlatformHost{Name: "h1", Pool: "a", Phase: rock.HostUp}
	orders := map[string]func(ctx context.Context, m *hostManager) error{
		"move": func(ctx context.Context, m *hostManager) error {
			m.departures["h1"] = departure{to: "b", since: m.owner.site.now()}
			return m.moveEmptyHosts(ctx, []rock.PlatformHost{host})
		},
		"maintenance": func(ctx context.Context, m *hostManager) error {
			m.claimedAt["h1"] = m.owner.site.now()
			state := maint.State{Claims: map[string]maint.Claim{"h1": {}}}
			_, err := m.orderMaintenance(ctx, rock.MaintenanceWave{Number: 1}, state, map[string]rock.PlatformHost{"h1": host})
			return err
		},
	}
	suspensions := map[string]struct {
		duration time.Duration
		want     int
	}{
		"not suspended":         {0, 1},
		"suspended for a while": {100 * time.Millisecond, 1},
		"lease has expired":     {4 * time.Second, 0},
	}
	for kind, order := range orders {
		for name, c := range suspensions {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
				hosts := &recordingHosts{t: t, store: &orderStore{rows: map[string][]byte{}}}
				s := &Site{settings: Settings{Clock: func() time.Time { return clock }, Hosts: hosts, Store: hosts.store}}
				o := &cellOwner{
					site: s, pool: "a", events: make(chan func(time.Time)), log: logs.Discard().WithField("cell", "a"),
					state: cell.New(cell.Settings{Pool: "a"}),
					lease: tenure.NewLease(tenure.Record{}, []tenure.AcquiredHome{{Version: 1, SentAt: clock.Add(time.Second - tenure.LeaseDuration)}}),
				}
				m := newHostManager(o)
				m.inPoolSince["h1"] = clock.Add(-time.Minute)
				g := group.New(t.Context())
				g.Go("events", func(ctx context.Context) error {
					for first := true; ; first = false {
						select {
						case event := <-o.events:
							now := clock
							if first {
								clock = clock.Add(c.duration)
							}
							event(now)
						case <-ctx.Done():
							return nil
						}
					}
				})
				_ = order(t.Context(), m) // it may return an error if the order is not sent
				g.Stop()
				assert.NilError(t, g.Wait())
				assert.Equal(t, hosts.orders, c.want)
				if c.want > 0 {
					assert.DeepEqual(t, hosts.announced, []string{"h1"})
				}
			})
		}
	}
}

// TestOrdersOfFormerHoldersAreKnown guards against orders of two holders for a host
// within the least gap. A new owner may order a host at once if no other owner has
// announced orders for it recently, and must wait otherwise.
func TestOrdersOfFormerHoldersAreKnown(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	const gap = 3 * time.Second
	cases := map[string]struct {
		ordered map[string]int64 // by the owner of another cell, in ms of the table's clock
		fail    error
		// after is when h1 may get orders, within 100 ms.
		after time.Duration
	}{
		"nobody has ordered it":      {nil, nil, 0},
		"another host was ordered":   {map[string]int64{"h2": 999_900}, nil, 0},
		"it was ordered just before": {map[string]int64{"h1": 999_000}, nil, 2300 * time.Millisecond},
		"it may be ordered still":    {map[string]int64{"h1": 1_001_500}, nil, 4800 * time.Millisecond},
		"it was ordered long ago":    {map[string]int64{"h1": 990_000}, nil, 0},
		"rows cannot be read":        {nil, errors.New("the part is down"), 3300 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := start
			store := &orderStore{rows: map[string][]byte{}, fail: c.fail}
			value, err := encode(announcedOrdersRow{UntilMS: c.ordered})
			assert.NilError(t, err)
			store.rows["b#home1"] = value
			s := New(Settings{Clock: func() time.Time { return clock }, MinHolderGap: gap, Store: store, Log: logs.Discard(), Scope: tally.NoopScope})
			s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}, {Name: "b"}}}, 1)
			zero := start.Add(-1000 * time.Second) // when the table's clock was zero
			m := newHostManager(&cellOwner{site: s, pool: "a", log: s.log, tableEpochEarliest: zero, tableEpochLatest: zero})
			hosts := []rock.PlatformHost{{Name: "h1", Pool: "a", Phase: rock.HostUp}}
			for clock = start; !m.mayOrder("h1") && clock.Sub(start) < time.Minute; clock = clock.Add(50 * time.Millisecond) {
				m.recordHosts(hosts)
				m.loadRecentOrders(t.Context(), hosts)
			}
			assert.Assert(t, clock.Sub(start) >= c.after, "ordered after %v", clock.Sub(start))
			assert.Assert(t, clock.Sub(start) <= c.after+100*time.Millisecond, "ordered after %v", clock.Sub(start))

			hosts = append(hosts, rock.PlatformHost{Name: "h3", Pool: "a", Phase: rock.HostUp}) // joined the pool later
			m.recordHosts(hosts)
			m.loadRecentOrders(t.Context(), hosts)
			assert.Assert(t, !m.mayOrder("h3"))
		})
	}
}

// TestFirstOwnerWaitsBeforeOrderingHosts guards against orders of two holders for a host
// within the least gap. The owner of another pool may have moved a host in just before
// the first listing, so that even the first owner of a cell must wait.
func TestFirstOwnerWaitsBeforeOrderingHosts(t *testing.T) {
	t.Parallel()
	clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	s := &Site{settings: Settings{Clock: func() time.Time { return clock }, MinHolderGap: 3 * time.Second}}
	m := newHostManager(&cellOwner{site: s, pool: "a", firstOwner: true})
	m.recordHosts([]rock.PlatformHost{{Name: "h1", Pool: "a", Phase: rock.HostMoving}})
	assert.Assert(t, !m.mayOrder("h1"))
	clock = clock.Add(3 * time.Second)
	assert.Assert(t, !m.mayOrder("h1"))
	clock = clock.Add(time.Second)
	assert.Assert(t, m.mayOrder("h1"))
}
