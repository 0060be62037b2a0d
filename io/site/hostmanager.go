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
	"bramleyrock/core/resize"
)

// hostInterval is the time between looks at the pool's hosts, a fraction of
// the time that a host is away for a move.
const hostInterval = 200 * time.Millisecond

// maxListGap is the time between two listings from which a host may have left
// the pool and come back: a move takes 1.5 s, and there and back two.
const maxListGap = 2 * time.Second

// hostManager maintains and moves the hosts of one pool for the cell's owner. It
// belongs to one goroutine.
type hostManager struct {
	owner *cellOwner
	// inPoolSince is when a host was first seen in the pool by this owner. Orders
	// for it keep a distance from those of a former holder.
	inPoolSince map[string]time.Time
	// firstListedAt is when this owner first listed the hosts; settled is true once the
	// orders of former holders are known.
	firstListedAt     time.Time
	recentOrdersKnown bool
	// announcedOrders holds the hosts that may be ordered, and until when.
	announcedOrders map[string]time.Time
	// claimedAt is when this owner first saw a claim of a wave.
	claimedAt map[string]time.Time
	// completedWaves holds the waves whose state is written.
	completedWaves map[string]bool
	// announcedWaves holds the waves that are known to have a state.
	announcedWaves map[string]bool
	// departures holds the hosts that are about to leave the pool.
	departures map[string]departure
	// activity tells of the pool's surges.
	activity resize.Activity
	// listedAt is when the hosts were last listed.
	listedAt time.Time
	// endingWorkers holds the workers whose end was ordered, and their hosts. An order
	// that was carried out before is taken as well, so that only the list of
	// hosts tells that the worker is gone.
	endingWorkers map[string]string
	endingMu      sync.Mutex // moves are ordered some at a time
	// pendingWaves holds the waves whose orders are to be given in this turn.
	pendingWaves []pendingWave
}

// newHostManager returns the steward of the owner's hosts.
func newHostManager(o *cellOwner) *hostManager {
	return &hostManager{
		owner: o, inPoolSince: map[string]time.Time{}, announcedOrders: map[string]time.Time{}, claimedAt: map[string]time.Time{},
		completedWaves: map[string]bool{}, announcedWaves: map[string]bool{}, endingWorkers: map[string]string{}, departures: map[string]departure{}, activity: o.activity, listedAt: o.site.now(),
	}
}

// manageHosts looks after the pool's hosts until ctx ends.
func (o *cellOwner) manageHosts(ctx context.Context) error {
	m := newHostManager(o)
	for {
		if err := sleep(ctx, hostInterval); err != nil {
			return nil
		}
		if err := m.reconcile(ctx); err != nil && ctx.Err() == nil {
			o.log.WithError(err).Info("Hosts are left as they are for now.")
		}
	}
}

// reconcile does what is due for all hosts of the pool.
func (m *hostManager) reconcile(ctx context.Context) error {
	hosts, err := m.owner.site.settings.Hosts.Hosts(ctx)
	if err != nil {
		return fmt.Errorf("list hosts: %w", err)
	}
	if now := m.owner.site.now(); now.Sub(m.listedAt) > maxListGap {
		clear(m.inPoolSince) // a host may have left the pool and come back meanwhile
		m.listedAt = now
	}
	m.recordHosts(hosts)
	m.listedAt = m.owner.site.now()
	m.loadRecentOrders(ctx, hosts)
	m.reportGoneWorkers(ctx, hosts)
	waves, seen := m.owner.site.view.listWaves()
	closing, claimed := map[string]bool{}, map[string]bool{}
	m.pendingWaves = nil
	var failed error
	for _, name := range slices.Sorted(maps.Keys(waves)) {
		if m.completedWaves[name] {
			continue
		}
		if err := m.reconcileWave(ctx, name, waves[name], seen[name], hosts, closing, claimed); err != nil && failed == nil {
			failed = fmt.Errorf("wave %s: %w", name, err)
		}
	}
	mine, err := m.planMoves(ctx, hosts, closing, claimed)
	if err != nil {
		return err
	}
	m.setClosing(ctx, closing)
	// A surge waits for hosts that move, a wave has more time.
	return errors.Join(failed, m.moveEmptyHosts(ctx, mine), m.orderPendingWaves(ctx))
}

// recordHosts remembers since when each host has been in the pool.
func (m *hostManager) recordHosts(hosts []rock.PlatformHost) {
	now := m.owner.site.now()
	if m.firstListedAt.IsZero() {
		m.firstListedAt = now
	}
	here := map[string]bool{}
	for _, h := range hosts {
		if h.Pool == m.owner.pool {
			here[h.Name] = true
			if m.inPoolSince[h.Name].IsZero() {
				m.inPoolSince[h.Name] = now
			}
		}
	}
	maps.DeleteFunc(m.inPoolSince, func(name string, _ time.Time) bool { return !here[name] })
}

// mayOrder reports whether the owner may give orders for a host without
// coming too close after another holder.
func (m *hostManager) mayOrder(host string) bool {
	t := m.inPoolSince[host]
	return !t.IsZero() && m.owner.site.now().Sub(t) > m.orderGap()
}

// holderMargin is added to the distance between two holders' orders: a
// fraction of it, for orders that are under way.
const holderMargin = 300 * time.Millisecond

// reportGoneWorkers tells the cell which workers are gone: their end was ordered, and their
// host has another worker or none by now.
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

// setClosing tells the cell which workers are to be emptied.
func (m *hostManager) setClosing(ctx context.Context, closing map[string]bool) {
	m.owner.enqueue(ctx, func(time.Time) {
		m.owner.state.SetClosing(closing)
		m.owner.changed = true
	})
}

// errOwnershipUncertain means that an order may not be given because another entry may own
// the cell.
var errOwnershipUncertain = errors.New("the ownership is not proved")

// cellSnapshot is what the cell knows of its workers and its load.
type cellSnapshot struct {
	leaseValid bool
	// validUntil is the time until which orders may be given with the token.
	validUntil   time.Time
	fencingToken uint64
	// home is the cell's main home, and ownerVersion that of its owner's row.
	home         int
	ownerVersion uint64
	load         cell.Load
	occupancy    map[string]cell.Occupancy
}

// snapshot asks the owner's loop for the situation.
func (m *hostManager) snapshot(ctx context.Context, workers []string) (cellSnapshot, error) {
	answers := make(chan cellSnapshot, 1)
	o := m.owner
	o.enqueue(ctx, func(now time.Time) {
		until := o.lease.ValidUntil()
		home := o.lease.Main()
		ownerVersion, _ := o.lease.Versions(home)
		s := cellSnapshot{leaseValid: now.Before(until), validUntil: until, fencingToken: o.lease.FencingToken(), home: home, ownerVersion: ownerVersion, load: o.state.Load(now), occupancy: map[string]cell.Occupancy{}}
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
