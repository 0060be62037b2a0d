package site

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/resize"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
)

// departTimeout is how long a host that should leave its pool may run tasks. It is
// longer than most tasks of the expected workload take. A host that is not empty by
// then stays in the pool.
const departTimeout = 3 * time.Second

// departure is a planned move of a host to another pool.
type departure struct {
	to    string
	since time.Time
}

// planMoves decides which hosts leave the pool and adds their workers to closing. It
// returns all hosts that could leave.
func (m *hostManager) planMoves(s cellSnapshot, hosts []rock.PlatformHost, closing, claimed map[string]bool) []rock.PlatformHost {
	movable := m.movableHosts(hosts, claimed)
	movable = slices.DeleteFunc(movable, func(h rock.PlatformHost) bool { return s.occupancy[h.Worker].PersistentRuns > 0 })
	m.planDepartures(hosts, movable, claimed, s)
	for _, h := range movable {
		if m.departures[h.Name].to != "" && h.Worker != "" {
			closing[h.Worker] = true
		}
	}
	return movable
}

// movableHosts returns the pool's hosts that may be moved.
func (m *hostManager) movableHosts(hosts []rock.PlatformHost, claimed map[string]bool) []rock.PlatformHost {
	var movable []rock.PlatformHost
	for _, h := range hosts {
		if h.Pool == m.owner.pool && h.Phase == rock.HostUp && !claimed[h.Name] && m.mayOrder(h.Name) {
			movable = append(movable, h)
		}
	}
	return movable
}

// planDepartures adds and removes planned departures.
func (m *hostManager) planDepartures(hosts, movable []rock.PlatformHost, claimed map[string]bool, s cellSnapshot) {
	o := m.owner
	now := o.site.now()
	for name, d := range m.departures {
		if now.Sub(d.since) > departTimeout || !slices.ContainsFunc(movable, func(h rock.PlatformHost) bool { return h.Name == name }) {
			delete(m.departures, name)
		}
	}
	spare := len(movable)
	config := o.site.view.current()
	if config == nil {
		return
	}
	hostCores, evenCores := cores(config.Pools, hosts)
	m.activity.Observe(now, s.load.ArrivalRate, evenCores)
	activity := m.activity
	o.enqueue(o.group.Context(), func(time.Time) {
		o.spareHosts, o.activity = spare, activity
		o.state.SetHostTotal(len(hosts))
	})
	pools := o.site.view.pools(now, hosts, hostCores)
	for i := range pools {
		if p := &pools[i]; p.Name == o.pool {
			p.Want, p.Keep, p.Min, p.Spare = s.load.RequiredCores, s.load.RetainedCores, s.load.MinHosts, spare
			p.Rest, p.Surged = activity.SinceSurge(now)
			p.Hosts -= countClaimed(hosts, o.pool, claimed) // they take no tasks, so that the others must stay
		}
	}
	free := slices.DeleteFunc(slices.Clone(movable), func(h rock.PlatformHost) bool { return m.departures[h.Name].to != "" })
	slices.SortFunc(free, func(a, b rock.PlatformHost) int {
		if n := s.occupancy[a.Worker].Runs - s.occupancy[b.Worker].Runs; n != 0 {
			return n
		}
		return compareNames(a, b)
	})
	underway := len(m.departures)
	for _, move := range resize.Plan(pools) {
		if move.From != o.pool {
			continue
		}
		count := min(max(0, move.Count-underway), len(free))
		underway = max(0, underway-move.Count) // these hosts are already leaving
		if count == 0 {
			continue
		}
		runs := 0
		for _, h := range free[:count] {
			m.departures[h.Name] = departure{move.To, now}
			runs += s.occupancy[h.Worker].Runs
		}
		o.log.WithFields(logrus.Fields{"hosts": strings.Join(hostNames(free[:count]), " "), "to": move.To, "runs": runs, "pools": fmt.Sprintf("%+v", pools)}).Info("Hosts are to leave the pool.")
		free = free[count:]
	}
}

// countClaimed returns the number of a pool's hosts that are claimed for maintenance.
func countClaimed(hosts []rock.PlatformHost, pool string, claimed map[string]bool) int {
	n := 0
	for _, h := range hosts {
		if h.Pool == pool && claimed[h.Name] && countsForPool(h) {
			n++
		}
	}
	return n
}

// countsForPool reports whether a host is in its pool or on its way to it.
func countsForPool(h rock.PlatformHost) bool {
	return h.Phase == rock.HostUp || h.Phase == rock.HostMoving || h.Phase == rock.HostInMaintenance
}

// compareNames orders hosts by name.
func compareNames(a, b rock.PlatformHost) int {
	if a.Name < b.Name {
		return -1
	}
	return 1
}

// moveEmptyHosts orders the moves of the departing hosts that are empty.
func (m *hostManager) moveEmptyHosts(ctx context.Context, movable []rock.PlatformHost) error {
	empty, s, err := m.emptyDepartures(ctx, movable)
	if err != nil {
		return err
	}
	ready, err := m.beginTakeDowns(ctx, empty, s)
	if err != nil || len(ready) == 0 {
		return err
	}
	notOrdered := ready
	defer func() { m.endTakeDowns(ctx, notOrdered) }()
	if err := m.announceOrders(ctx, s, hostNames(ready)); err != nil {
		return err
	}
	notOrdered, err = m.sendOrders(ctx, ready, s, func(ctx context.Context, h rock.PlatformHost) error {
		return m.orderMove(ctx, h, m.departures[h.Name].to, s.fencingToken)
	})
	for _, h := range ready {
		if !slices.ContainsFunc(notOrdered, func(n rock.PlatformHost) bool { return n.Name == h.Name }) {
			delete(m.departures, h.Name)
			delete(m.inPoolSince, h.Name) // if the host comes back, another holder may have ordered it meanwhile
		}
	}
	return err
}

// emptyDepartures returns the departing hosts on which nothing runs, and the snapshot
// that shows it.
func (m *hostManager) emptyDepartures(ctx context.Context, movable []rock.PlatformHost) ([]rock.PlatformHost, cellSnapshot, error) {
	var leaving []rock.PlatformHost
	var workerIDs []string
	for _, h := range movable {
		if _, ok := m.departures[h.Name]; ok {
			leaving = append(leaving, h)
			workerIDs = append(workerIDs, h.Worker)
		}
	}
	if len(leaving) == 0 {
		return nil, cellSnapshot{}, nil
	}
	s, err := m.snapshot(ctx, workerIDs, withoutLoad)
	if err != nil {
		return nil, s, err
	}
	return slices.DeleteFunc(leaving, func(h rock.PlatformHost) bool {
		w := s.occupancy[h.Worker]
		return h.Worker != "" && (w.Runs > 0 || w.Usable)
	}), s, nil
}

// orderMove sends the order to move one host.
func (m *hostManager) orderMove(ctx context.Context, h rock.PlatformHost, to string, token uint64) error {
	o := m.owner
	p, err := o.site.settings.Hosts.Move(ctx, rock.DutyHolder{Name: o.site.settings.Holder, FencingToken: token}, h.Name, to)
	logger := o.log.WithFields(logrus.Fields{"host": h.Name, "to": to, "token": token, "worker": h.Worker, "refusal": p.Refusal})
	if certainlyNotOrdered(p, err) {
		m.endTakeDowns(ctx, []rock.PlatformHost{h})
	}
	if err != nil {
		logger.WithError(err).Warn("Outcome of a move order is unknown.")
		return err
	}
	logger.Info("Host moves.")
	if p.Refusal == rock.Accepted && h.Worker != "" {
		m.endingMu.Lock()
		m.endingWorkers[h.Worker] = h.Name
		m.endingMu.Unlock()
	}
	return nil
}

// pools returns the inputs of the plan for all pools, from the last renewals of their
// cells.
func (v *view) pools(now time.Time, hosts []rock.PlatformHost, hostCores float64) []resize.Pool {
	v.mu.Lock()
	defer v.mu.Unlock()
	var pools []resize.Pool
	for _, p := range v.config.Pools {
		r := resize.Pool{Name: p.Name, Standby: p.Standby, HostCores: hostCores}
		for _, h := range hosts {
			if h.Pool == p.Name && countsForPool(h) {
				r.Hosts++
			}
		}
		if c := v.cells[cellOf(p.Name)]; c != nil && c.renewal.HasLoad {
			r.Want, r.Keep, r.Min, r.Spare = c.renewal.RequiredCores, c.renewal.RetainedCores, c.renewal.MinHosts, c.renewal.SpareHosts
			r.Rest, r.Surged = time.Duration(c.renewal.SinceSurgeMS)*time.Millisecond+now.Sub(c.renewalAt), c.renewal.SurgeKnown
		}
		pools = append(pools, r)
	}
	return pools
}

// cores returns the mean number of cores of a host, and the number of cores of each
// pool if they were spread evenly over all pools that are not on standby.
func cores(pools []works.Pool, hosts []rock.PlatformHost) (host, even float64) {
	total, active := 0.0, 0
	for _, h := range hosts {
		total += float64(h.Capacity.MilliCores) / 1000
	}
	for _, p := range pools {
		if !p.Standby {
			active++
		}
	}
	return total / float64(max(1, len(hosts))), total / float64(max(1, active))
}
