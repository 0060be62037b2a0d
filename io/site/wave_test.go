package site

import (
	"context"
	"fmt"
	"strings"
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

// waveStore is a store with the state of a wave, which the owners of other pools write
// too: while they do, every second conditional write conflicts.
type waveStore struct {
	mu sync.Mutex
	rock.Store
	rows    map[string]rock.Row
	version uint64
	// contended is true while other owners write the row. writes counts the writes of it.
	contended bool
	writes    int
}

func (s *waveStore) List(_ context.Context, table, part, from, _ string) (rock.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := rock.Changes{Version: s.version}
	if r, ok := s.rows[key(table, part, from)]; ok {
		c.Rows = append(c.Rows, r)
	}
	return c, nil
}

func (s *waveStore) Apply(_ context.Context, t rock.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, w := range t.Writes() {
		if strings.Contains(w.Key(), "/"+wavePart+"/") {
			s.writes++
			if s.contended && s.writes%2 == 1 {
				s.rows[w.Key()] = rock.NewRow(w.Key(), s.version, s.rows[w.Key()].Value())
				return 0, rock.Fail("commit", "store", rock.Conflict, rock.NotRun)
			}
		}
	}
	for _, c := range t.Conditions() {
		if s.rows[c.Key()].Version() != c.Version() && !strings.HasSuffix(c.Key(), ownerName) {
			return 0, rock.Fail("commit", "store", rock.Conflict, rock.NotRun)
		}
	}
	for _, w := range t.Writes() {
		s.rows[w.Key()] = rock.NewRow(w.Key(), s.version, w.Value())
	}
	return s.version, nil
}

// waveHosts is a platform whose hosts are maintained for one to three seconds each.
type waveHosts struct {
	fleetHosts
	doneAt map[string]time.Time
	begun  int
}

func (f *waveHosts) Hosts(ctx context.Context) ([]rock.PlatformHost, error) {
	now := f.clock.read()
	f.mu.Lock()
	for i := range f.hosts {
		h := &f.hosts[i]
		if at, ok := f.doneAt[h.Name]; ok && !now.Before(at) {
			h.Phase, h.Worker = rock.HostUp, "next-"+h.Name
			delete(f.doneAt, h.Name)
		}
	}
	f.mu.Unlock()
	return f.fleetHosts.Hosts(ctx)
}

func (f *waveHosts) Maintain(_ context.Context, _ rock.DutyHolder, host string, _ int64) (rock.Reply, error) {
	now := f.clock.advance(f.perOrder)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if h := &f.hosts[i]; h.Name == host {
			h.Phase, h.Worker = rock.HostInMaintenance, ""
		}
	}
	f.begun++
	f.doneAt[host] = now.Add(time.Second + time.Duration(f.begun*7%20)*100*time.Millisecond)
	return rock.Reply{}, nil
}

// TestWaveGoesOnBesideOtherOwners guards against a wave that misses its time. No orders
// were sent in a round in which a host was claimed or had come back, and a conflict with
// the owner of another pool ended the round for the wave.
func TestWaveGoesOnBesideOtherOwners(t *testing.T) {
	t.Parallel()
	for name, contended := range map[string]bool{"alone": false, "beside other owners": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const hostCount, atOnce = 120, 20
			// A maintenance takes two seconds on average, and the next host follows within
			// half a second.
			const limit = hostCount / atOnce * 2500 * time.Millisecond
			start := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
			clock := &virtualClock{now: start}
			f := &waveHosts{fleetHosts: fleetHosts{clock: clock, perOrder: 10 * time.Millisecond}, doneAt: map[string]time.Time{}}
			w := rock.MaintenanceWave{Number: 1, TimeLimit: time.Minute, MaxParallel: atOnce}
			for i := range hostCount {
				h := rock.PlatformHost{Name: fmt.Sprintf("h%03d", i), Pool: "a", Phase: rock.HostUp, Worker: fmt.Sprintf("w%03d", i), Capacity: rock.Resources{MilliCores: 32000}}
				f.hosts = append(f.hosts, h)
				w.Hosts = append(w.Hosts, h.Name)
			}
			store := &waveStore{rows: map[string]rock.Row{}, contended: contended}
			s := New(Settings{
				Clock: clock.read, MinHolderGap: 3 * time.Second, Hosts: f, Store: store, Log: logs.Discard(), Scope: tally.NoopScope,
				PlatformTables: PlatformTables{StatusTable: "status", EncodeWave: func(bool) []byte { return nil }},
			})
			s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}}}, 1)
			s.view.setWave("1", w, start)
			o := &cellOwner{site: s, cell: "a", pool: "a", log: s.log, events: make(chan func(time.Time), maxEvents), state: cell.New(cell.Settings{Pool: "a"})}
			o.group = group.New(t.Context())
			o.group.Go("events", func(ctx context.Context) error {
				for {
					select {
					case event := <-o.events:
						o.lease = tenure.NewLease(tenure.Record{}, []tenure.AcquiredHome{{Version: 1, SentAt: clock.read()}})
						event(clock.advance(5 * time.Millisecond))
					case <-ctx.Done():
						return nil
					}
				}
			})
			m := newHostManager(o)
			for clock.read().Sub(start) < w.TimeLimit && f.begun < hostCount {
				_ = m.reconcile(t.Context()) // a round may fail, the next one goes on
				down := len(f.doneAt)
				assert.Assert(t, down <= atOnce, "%d hosts are down at once", down)
				clock.advance(hostInterval)
			}
			o.group.Stop()
			assert.NilError(t, o.group.Wait())
			assert.Equal(t, f.begun, hostCount)
			row, state, err := m.readWaveState(t.Context(), "1")
			assert.NilError(t, err)
			assert.Assert(t, row.Exists())
			assert.Assert(t, state.AllStarted(w), "the orders are not recorded")
			took := clock.read().Sub(start)
			assert.Assert(t, took <= limit, "all maintenance began within %v", took)
		})
	}
}
