package duty

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/lease"
)

// maxWait is the longest time between two looks at a lease that another entry
// holds.
const maxWait = 10 * time.Second

// holding takes and renews the lease of one duty and runs its rounds.
type holding struct {
	set  Settings
	duty Duty
	// held is the lease as last written, while the duty is held.
	held lease.Lease
}

// run keeps the duty until ctx ends, and then gives the lease up.
func (h *holding) run(ctx context.Context) error {
	for {
		next, err := h.turn(ctx)
		if err != nil && ctx.Err() == nil {
			h.set.Log.WithField("duty", h.duty.Name()).WithError(err).Warn("round failed")
			h.set.Scope.Counter("duty_failures").Inc(1)
		}
		if err := pause(ctx, next); err != nil {
			h.release(context.WithoutCancel(ctx))
			return err
		}
	}
}

// turn does one round if there is work and the lease is held, and returns the
// time to the next.
func (h *holding) turn(ctx context.Context) (time.Duration, error) {
	fleet, ok := h.set.Fleet.Fleet()
	if !ok || !h.wanted(fleet) {
		return h.set.Interval, nil
	}
	now := h.set.Now()
	l, action, err := h.claim(ctx, now)
	if err != nil {
		h.held = lease.Lease{}
		return h.set.Interval, err
	}
	if action == lease.Wait {
		h.held = lease.Lease{}
		return max(h.set.Interval, min(l.Expiry().Sub(now), maxWait)), nil
	}
	h.held = l
	err = h.duty.Round(ctx, now, RoundParams{Holder: h.set.Name, Fleet: fleet, Guard: l.Guard()})
	if rock.ReasonOf(err) == rock.Conflict {
		h.held = lease.Lease{}
	}
	return h.set.Interval, err
}

func (h *holding) wanted(fleet rock.Fleet) bool {
	w, ok := h.duty.(ConditionalDuty)
	return !ok || w.HasWork(fleet)
}

// claim takes or renews the lease if that is due. It reads the lease's row
// only if the duty is not held.
func (h *holding) claim(ctx context.Context, now time.Time) (lease.Lease, lease.Action, error) {
	before := h.held
	if before.Version() == 0 {
		var err error
		if before, err = h.read(ctx); err != nil {
			return before, lease.Wait, err
		}
	}
	after, action := h.set.Terms.Next(now, h.set.Name, before)
	if action != lease.Acquire && action != lease.Renew {
		return after, action, nil
	}
	var t rock.Transaction
	if err := after.AddTo(&t, before); err != nil {
		return before, lease.Wait, err
	}
	if err := h.set.Table.Commit(ctx, t); err != nil {
		return before, lease.Wait, fmt.Errorf("%s lease of %s: %w", action, h.duty.Name(), err)
	}
	if action == lease.Acquire {
		h.set.Log.WithField("duty", h.duty.Name()).WithField("epoch", after.Epoch()).Info("lease taken")
	}
	return after, action, nil
}

func (h *holding) read(ctx context.Context) (lease.Lease, error) {
	name := h.duty.Name()
	rows, err := h.set.Table.Read(ctx, lease.Key(name))
	if err != nil {
		return lease.Lease{}, fmt.Errorf("read lease of %s: %w", name, err)
	}
	return lease.Parse(name, rows[0])
}

// releaseTimeout bounds how long a shutdown waits for the platform.
const releaseTimeout = 2 * time.Second

// release frees the lease if it is held, so that another entry need not wait
// for its expiry.
func (h *holding) release(ctx context.Context) {
	if h.held.Holder() != h.set.Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var t rock.Transaction
	if err := h.set.Terms.Release(h.held).AddTo(&t, h.held); err != nil {
		return
	}
	if err := h.set.Table.Commit(ctx, t); err != nil {
		h.set.Log.WithField("duty", h.duty.Name()).WithError(err).Info("lease left to lapse")
	}
}
