package site

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// TestHostsBesideClaimedOnesStay guards against a pool whose remaining workers are all
// drained for maintenance, because its other hosts have left for standby.
func TestHostsBesideClaimedOnesStay(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		claimed int
		leave   int
	}{
		"no maintenance":        {0, 2},
		"a host is claimed":     {1, 2},
		"most hosts are":        {6, 0},
		"all but one host are":  {9, 0},
		"all hosts are claimed": {10, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			s := New(Settings{Clock: func() time.Time { return clock }, Log: logs.Discard(), Scope: tally.NoopScope})
			s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}, {Name: "off", Standby: true}}}, 1)
			g := group.New(t.Context())
			g.Stop()
			m := newHostManager(&cellOwner{site: s, pool: "a", log: s.log, group: g})
			var hosts, movable []rock.PlatformHost
			claimed := map[string]bool{}
			for i := range 10 {
				h := rock.PlatformHost{Name: fmt.Sprint("h", i), Pool: "a", Phase: rock.HostUp, Worker: fmt.Sprint("w", i), Capacity: rock.Resources{MilliCores: 4000}}
				hosts = append(hosts, h)
				if i < c.claimed {
					claimed[h.Name] = true
				} else {
					movable = append(movable, h)
				}
			}
			m.planDepartures(hosts, movable, claimed, cellSnapshot{load: cell.Load{RequiredCores: 4}})
			assert.Equal(t, len(m.departures), c.leave)
			for name := range m.departures {
				assert.Assert(t, !claimed[name])
			}
		})
	}
}

// TestHostsThatTasksNeedStay guards against hosts that leave a pool although each of them
// has to run a task, because hosts elsewhere have more cores.
func TestHostsThatTasksNeedStay(t *testing.T) {
	t.Parallel()
	for name, milliCores := range map[string]int64{"smaller": 2000, "larger": 8000, "much larger": 12000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			s := New(Settings{Clock: func() time.Time { return clock }, Log: logs.Discard(), Scope: tally.NoopScope})
			s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "off", Standby: true}}}, 1)
			g := group.New(t.Context())
			g.Stop()
			m := newHostManager(&cellOwner{site: s, pool: "a", log: s.log, group: g})
			var hosts []rock.PlatformHost
			for i := range 20 {
				h := rock.PlatformHost{Name: fmt.Sprint("h", i), Pool: "off", Phase: rock.HostUp, Capacity: rock.Resources{MilliCores: milliCores}}
				if i < 10 {
					h.Pool, h.Worker, h.Capacity.MilliCores = "a", fmt.Sprint("w", i), 4000
				}
				hosts = append(hosts, h)
			}
			m.planDepartures(hosts, hosts[:10], nil, cellSnapshot{load: cell.Load{RequiredCores: 40, RetainedCores: 40, MinHosts: 10}})
			assert.Equal(t, len(m.departures), 0)
		})
	}
}
