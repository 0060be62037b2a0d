package site

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/maint"
	"bramleyrock/core/resize"
)

// hostInterval is the time between scans of the pool's hosts, a fraction of the time
// for which a move takes a host away.
const hostInterval = 200 * time.Millisecond

// maxListGap is the longest time between two listings in which no host can have left
// the pool and come back unnoticed. A move takes 1.5 s, so two moves take longer.
const maxListGap = 2 * time.Second

// hostManager maintains and moves the hosts of one pool for the cell's owner. It is
// used by one goroutine.
type hostManager struct {
	owner *cellOwner
	// inPoolSince is when this owner first saw a host in the pool. A former holder may
	// have sent orders for the host until then, so that new orders must wait.
	inPoolSince map[string]time.Time
	// firstListedAt is when this owner first listed the hosts. recentOrdersKnown is
	// true once the orders of former holders have been read.
	firstListedAt     time.Time
	recentOrdersKnown bool
	// gapListedAt is when the hosts were listed again after they had not been listed for
	// longer than maxListGap, or zero if it is known which of them other holders have
	// ordered meanwhile.
	gapListedAt time.Time
	// announcedOrders holds the hosts that may get orders, and until when.
	announcedOrders map[string]time.Time
	// claimedAt is when this owner first saw that a host is claimed for a wave.
	claimedAt map[string]time.Time
	// orderedUpSince is since when hosts whose maintenance was ordered have been listed as
	// up with the same worker.
	orderedUpSince map[string]time.Time
	// completedWaves holds the waves that were reported to the operator as completed.
	completedWaves map[string]bool
	// announcedWaves holds the waves that are known to have a status row.
	announcedWaves map[string]bool
	// departures holds the hosts that are being emptied to leave the pool.
	departures map[string]departure
	// activity records the surges of the pool.
	activity resize.Activity
	// listedAt is when the hosts were last listed.
	listedAt time.Time
	// refusedAt is when the last maintenance order for a host was refused.
	refusedAt map[string]time.Time
	// endingWorkers maps workers whose end was ordered to their hosts. The platform
	// also accepts an order that it carried out earlier, so that only the list of
	// hosts shows when the worker is gone.
	endingWorkers map[string]string
	endingMu      sync.Mutex // guards refusedAt, endingWorkers and the results of orders that are sent in parallel
	// pendingWaves holds the waves whose orders are sent in this round.
	pendingWaves []pendingWave
	// ordersLeft is true if orders were left for the next round because this one took too
	// long.
	ordersLeft bool
	// waveStates holds the last known states of waves that are not completed.
	waveStates map[string]maint.State
}

// newHostManager returns the manager of the hosts of the owner's pool.
func newHostManager(o *cellOwner) *hostManager {
	return &hostManager{
		owner: o, inPoolSince: map[string]time.Time{}, announcedOrders: map[string]time.Time{}, claimedAt: map[string]time.Time{}, orderedUpSince: map[string]time.Time{},
		completedWaves: map[string]bool{}, announcedWaves: map[string]bool{}, endingWorkers: map[string]string{}, refusedAt: map[string]time.Time{}, departures: map[string]departure{}, waveStates: map[string]maint.State{}, activity: o.activity, listedAt: o.site.now(),
	}
}

// manageHosts maintains and moves the pool's hosts until ctx ends.
func (o *cellOwner) manageHosts(ctx context.Context) error {
	m := newHostManager(o)
	for {
		interval := hostInterval
		if m.ordersLeft {
			interval = 0
		}
		if err := sleep(ctx, interval); err != nil {
			return nil
		}
		if err := m.reconcile(ctx); err != nil && ctx.Err() == nil {
			o.log.WithError(err).Info("Hosts cannot be managed now, retrying.")
		}
	}
}

// maxRoundTime is how long a round may take without being logged.
const maxRoundTime = 600 * time.Millisecond

// reconcile makes one round over all hosts of the pool. Waves that fail do not keep hosts
// from moving, nor the reverse.
func (m *hostManager) reconcile(ctx context.Context) error {
	m.ordersLeft = false
	t := newRoundTimer(m.owner.site.now)
	defer func() { t.log(m.owner.log) }()
	hosts, err := m.owner.site.settings.Hosts.Hosts(ctx)
	t.record("list")
	if err != nil {
		return fmt.Errorf("list hosts: %w", err)
	}
	m.recordHosts(hosts)
	m.loadRecentOrders(ctx, hosts)
	m.reportGoneWorkers(ctx, hosts)
	t.record("recent_orders")
	s, err := m.snapshot(ctx, workersOf(hosts, m.owner.pool), withLoad)
	t.record("snapshot")
	if err != nil {
		return err
	}
	waves, seen := m.owner.site.view.listWaves()
	closing, claimed := map[string]bool{}, map[string]bool{}
	m.pendingWaves = nil
	var failed error
	for _, name := range slices.Sorted(maps.Keys(waves)) {
		if m.completedWaves[name] {
			continue
		}
		if err := m.reconcileWave(ctx, name, waves[name], seen[name], hosts, s); err != nil {
			failed = errors.Join(failed, fmt.Errorf("wave %s: %w", name, err))
		}
		m.closeClaimed(m.waveStates[name], hosts, closing, claimed)
	}
	t.record("waves")
	movable := m.planMoves(s, hosts, closing, claimed)
	m.setClosing(ctx, closing)
	t.record("plan")
	// Moves come first: a surge waits for them, and a wave has more time.
	failed = errors.Join(failed, m.moveEmptyHosts(ctx, movable))
	t.record("moves")
	failed = errors.Join(failed, m.orderPendingWaves(ctx))
	t.record("maintenance")
	return failed
}

// workersOf returns the workers on the pool's hosts.
func workersOf(hosts []rock.PlatformHost, pool string) []string {
	var ids []string
	for _, h := range hosts {
		if h.Pool == pool {
			ids = append(ids, h.Worker)
		}
	}
	return ids
}

// recordHosts records since when each host has been in the pool. A host may have left it
// and come back unnoticed if the last listing is long ago.
func (m *hostManager) recordHosts(hosts []rock.PlatformHost) {
	now := m.owner.site.now()
	if m.firstListedAt.IsZero() {
		m.firstListedAt = now
	}
	if now.Sub(m.listedAt) > maxListGap {
		m.gapListedAt = now
	}
	m.listedAt = now
	present := map[string]bool{}
	for _, h := range hosts {
		if h.Pool == m.owner.pool {
			present[h.Name] = true
			if m.inPoolSince[h.Name].IsZero() {
				m.inPoolSince[h.Name] = now
			}
		}
	}
	maps.DeleteFunc(m.inPoolSince, func(name string, _ time.Time) bool { return !present[name] })
}

// mayOrder reports whether the owner may send orders for a host without violating the
// least gap to orders of another holder.
func (m *hostManager) mayOrder(host string) bool {
	t := m.inPoolSince[host]
	return !t.IsZero() && m.gapListedAt.IsZero() && m.owner.site.now().Sub(t) > m.orderGap()
}

// holderMargin is added to the least gap between the orders of two holders, for orders
// that are still being delivered.
const holderMargin = 300 * time.Millisecond

// reportGoneWorkers tells the cell which workers are gone: those whose end was ordered
// and whose host is listed with another worker or none.
func (m *hostManager) reportGoneWorkers(ctx context.Context, hosts []rock.PlatformHost) {
	on := map[string]string{}
	for _, h := range hosts {
		on[h.Name] = h.Worker
	}
	for worker, host := range m.endingWorkers {
		if on[host] == worker {
			continue
		}
		delete(m.endingWorkers, worker)
		m.owner.enqueue(ctx, func(now time.Time) {
			m.owner.state.MarkWorkerGone(now, worker, "its host "+host+" was taken down")
			m.owner.changed = true
		})
	}
}

// setClosing tells the cell which workers must be emptied.
func (m *hostManager) setClosing(ctx context.Context, closing map[string]bool) {
	m.owner.enqueue(ctx, func(time.Time) {
		m.owner.state.SetClosing(closing)
		m.owner.changed = true
	})
}

// errOwnershipUncertain means that an order must not be sent because another entry may
// own the cell.
var errOwnershipUncertain = errors.New("the ownership of the cell is not certain")

// cellSnapshot is the state of the owner's lease, the cell's load and its workers.
type cellSnapshot struct {
	leaseValid bool
	// validUntil is the time until which orders may be sent with the fencing token.
	validUntil   time.Time
	fencingToken uint64
	// home is the main home, and ownerVersion the version of its owner row.
	home         int
	ownerVersion uint64
	load         cell.Load
	occupancy    map[string]cell.Occupancy
}

// snapshotContents tells whether a snapshot contains the load, which takes long to
// compute.
type snapshotContents string

const (
	withLoad    snapshotContents = "with load"
	withoutLoad snapshotContents = "without load"
)

// snapshot returns the cell's state from the owner's loop, with the occupancy of the
// given workers. It fails with errOwnershipUncertain if the lease is not valid.
func (m *hostManager) snapshot(ctx context.Context, workers []string, contents snapshotContents) (cellSnapshot, error) {
	answers := make(chan cellSnapshot, 1)
	o := m.owner
	o.enqueue(ctx, func(now time.Time) {
		until := o.lease.ValidUntil()
		home := o.lease.Main()
		ownerVersion, _ := o.lease.Versions(home)
		s := cellSnapshot{leaseValid: now.Before(until), validUntil: until, fencingToken: o.lease.FencingToken(), home: home, ownerVersion: ownerVersion, occupancy: make(map[string]cell.Occupancy, len(workers))}
		if contents == withLoad {
			s.load = o.currentLoad(now)
		}
		for _, id := range workers {
			s.occupancy[id] = o.state.Occupancy(now, id)
		}
		answers <- s
	})
	select {
	case s := <-answers:
		if !s.leaseValid {
			return s, errOwnershipUncertain
		}
		return s, nil
	case <-ctx.Done():
		return cellSnapshot{}, ctx.Err()
	}
}
