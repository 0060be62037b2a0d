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

// tendInterval is the time between looks at the pool's hosts, a fraction of
// the time that a host is away for a move.
const tendInterval = 200 * time.Millisecond

// listGap is the time between two listings from which a host may have left
// the pool and come back: a move takes 1.5 s, and there and back two.
const listGap = 2 * time.Second

// steward maintains and moves the hosts of one pool for the cell's owner. It
// belongs to one goroutine.
type steward struct {
	owner *owner
	// since is when a host was first seen in the pool by this owner. Orders
	// for it keep a distance from those of a former holder.
	since map[string]time.Time
	// firstAt is when this owner first listed the hosts; settled is true once the
	// orders of former holders are known.
	firstAt time.Time
	settled bool
	// ordered holds the hosts that may be ordered, and until when.
	ordered map[string]time.Time
	// claimedAt is when this owner first saw a claim of a wave.
	claimedAt map[string]time.Time
	// said holds the waves whose state is written.
	said map[string]bool
	// announced holds the waves that are known to have a state.
	announced map[string]bool
	// departures holds the hosts that are about to leave the pool.
	departures map[string]departure
	// activity tells of the pool's surges.
	activity resize.Activity
	// listedAt is when the hosts were last listed.
	listedAt time.Time
	// ending holds the workers whose end was ordered, and their hosts. An order
	// that was carried out before is taken as well, so that only the list of
	// hosts tells that the worker is gone.
	ending   map[string]string
	endingMu sync.Mutex // moves are ordered some at a time
	// pending holds the waves whose orders are to be given in this turn.
	pending []pendingWave
}

// newSteward returns the steward of the owner's hosts.
func newSteward(o *owner) *steward {
	return &steward{
		owner: o, since: map[string]time.Time{}, ordered: map[string]time.Time{}, claimedAt: map[string]time.Time{},
		said: map[string]bool{}, announced: map[string]bool{}, ending: map[string]string{}, departures: map[string]departure{}, activity: o.activity, listedAt: o.site.now(),
	}
}

// tend looks after the pool's hosts until ctx ends.
func (o *owner) tend(ctx context.Context) error {
	u := newSteward(o)
	for {
		if err := pause(ctx, tendInterval); err != nil {
			return nil
		}
		if err := u.turn(ctx); err != nil && ctx.Err() == nil {
			o.log.WithError(err).Info("Hosts are left as they are for now.")
		}
	}
}

// turn does what is due for all hosts of the pool.
func (u *steward) turn(ctx context.Context) error {
	hosts, err := u.owner.site.settings.Hosts.Hosts(ctx)
	if err != nil {
		return fmt.Errorf("list hosts: %w", err)
	}
	if now := u.owner.site.now(); now.Sub(u.listedAt) > listGap {
		clear(u.since) // a host may have left the pool and come back meanwhile
		u.listedAt = now
	}
	u.note(hosts)
	u.listedAt = u.owner.site.now()
	u.settle(ctx, hosts)
	u.bury(ctx, hosts)
	waves, seen := u.owner.site.view.listWaves()
	closing, claimed := map[string]bool{}, map[string]bool{}
	u.pending = nil
	var failed error
	for _, name := range slices.Sorted(maps.Keys(waves)) {
		if u.said[name] {
			continue
		}
		if err := u.serve(ctx, name, waves[name], seen[name], hosts, closing, claimed); err != nil && failed == nil {
			failed = fmt.Errorf("wave %s: %w", name, err)
		}
	}
	mine, err := u.move(ctx, hosts, closing, claimed)
	if err != nil {
		return err
	}
	u.close(ctx, closing)
	// A surge waits for hosts that move, a wave has more time.
	return errors.Join(failed, u.depart(ctx, mine), u.orders(ctx))
}

// note remembers since when each host has been in the pool.
func (u *steward) note(hosts []rock.PlatformHost) {
	now := u.owner.site.now()
	if u.firstAt.IsZero() {
		u.firstAt = now
	}
	here := map[string]bool{}
	for _, h := range hosts {
		if h.Pool == u.owner.pool {
			here[h.Name] = true
			if u.since[h.Name].IsZero() {
				u.since[h.Name] = now
			}
		}
	}
	maps.DeleteFunc(u.since, func(name string, _ time.Time) bool { return !here[name] })
}

// mayOrder reports whether the owner may give orders for a host without
// coming too close after another holder.
func (u *steward) mayOrder(host string) bool {
	t := u.since[host]
	return !t.IsZero() && u.owner.site.now().Sub(t) > u.settledAfter()
}

// holderMargin is added to the distance between two holders' orders: a
// fraction of it, for orders that are under way.
const holderMargin = 300 * time.Millisecond

// bury tells the cell which workers are gone: their end was ordered, and their
// host has another worker or none by now.
func (u *steward) bury(ctx context.Context, hosts []rock.PlatformHost) {
	on := map[string]string{}
	for _, h := range hosts {
		on[h.Name] = h.Worker
	}
	for worker, host := range u.ending {
		if on[host] == worker {
			continue
		}
		delete(u.ending, worker)
		u.owner.post(ctx, func(now time.Time) {
			u.owner.core.MarkWorkerGone(now, worker, "its host "+host+" was taken down")
			u.owner.changed = true
		})
	}
}

// close tells the cell which workers are to be emptied.
func (u *steward) close(ctx context.Context, closing map[string]bool) {
	u.owner.post(ctx, func(time.Time) {
		u.owner.core.SetClosing(closing)
		u.owner.changed = true
	})
}

// errNotProved means that an order may not be given because another entry may own
// the cell.
var errNotProved = errors.New("the ownership is not proved")

// situation is what the cell knows of its workers and its load.
type situation struct {
	mayAct bool
	// until is the time until which orders may be given with the token.
	until time.Time
	token uint64
	// home is the cell's main home, and ownerVersion that of its owner's row.
	home         int
	ownerVersion uint64
	load         cell.Load
	hosts        map[string]cell.Occupancy
}

// ask asks the owner's loop for the situation.
func (u *steward) ask(ctx context.Context, workers []string) (situation, error) {
	answers := make(chan situation, 1)
	o := u.owner
	o.post(ctx, func(now time.Time) {
		until := o.lease.ValidUntil()
		home := o.lease.Main()
		ownerVersion, _ := o.lease.Versions(home)
		s := situation{mayAct: now.Before(until), until: until, token: o.lease.FencingToken(), home: home, ownerVersion: ownerVersion, load: o.core.Load(now), hosts: map[string]cell.Occupancy{}}
		for _, id := range workers {
			s.hosts[id] = o.core.Occupancy(now, id)
		}
		answers <- s
	})
	select {
	case s := <-answers:
		if !s.mayAct {
			return s, errNotProved
		}
		return s, nil
	case <-ctx.Done():
		return situation{}, ctx.Err()
	}
}
