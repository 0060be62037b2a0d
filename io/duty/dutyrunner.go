package duty

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/lease"
)

// maxLeaseWait is the longest time between two reads of a lease that another
// entry holds.
const maxLeaseWait = 10 * time.Second

// dutyRunner acquires and renews the lease of one duty and runs its rounds.
type dutyRunner struct {
	settings Settings
	duty     Duty
	// held is the lease as last written while the duty is held, else zero.
	held lease.Lease
}

// run runs the duty until ctx ends, and then releases the lease.
func (d *dutyRunner) run(ctx context.Context) error {
	for {
		next, err := d.runOnce(ctx)
		if err != nil && ctx.Err() == nil {
			d.settings.Log.WithField("duty", d.duty.Name()).WithError(err).Warn("duty round failed")
			d.settings.Scope.Counter("duty_failures").Inc(1)
		}
		if err := pause(ctx, next); err != nil {
			d.release(context.WithoutCancel(ctx))
			return err
		}
	}
}

// runOnce acquires or renews the lease and runs one round, if the duty has work
// and no other entry holds the lease. It returns the time to wait until the next
// call.
func (d *dutyRunner) runOnce(ctx context.Context) (time.Duration, error) {
	fleet, ok := d.settings.Fleet.Fleet()
	if !ok || !d.hasWork(fleet) {
		return d.settings.Interval, nil
	}
	now := d.settings.Now()
	l, action, err := d.acquireOrRenew(ctx, now)
	if err != nil {
		d.held = lease.Lease{}
		return d.settings.Interval, err
	}
	if action == lease.Wait {
		d.held = lease.Lease{}
		return max(d.settings.Interval, min(l.Expiry().Sub(now), maxLeaseWait)), nil
	}
	d.held = l
	err = d.duty.Round(ctx, now, RoundParams{Holder: d.settings.Name, Fleet: fleet, Guard: l.Guard()})
	if rock.ReasonOf(err) == rock.Conflict {
		d.held = lease.Lease{}
	}
	return d.settings.Interval, err
}

func (d *dutyRunner) hasWork(fleet rock.Fleet) bool {
	w, ok := d.duty.(ConditionalDuty)
	return !ok || w.HasWork(fleet)
}

// acquireOrRenew acquires the lease if it is free, or renews it if its renewal
// is due. It reads the lease row only if the duty is not held.
func (d *dutyRunner) acquireOrRenew(ctx context.Context, now time.Time) (lease.Lease, lease.Action, error) {
	before := d.held
	if before.Version() == 0 {
		var err error
		if before, err = d.readLease(ctx); err != nil {
			return before, lease.Wait, err
		}
	}
	after, action := d.settings.Terms.Next(now, d.settings.Name, before)
	if action != lease.Acquire && action != lease.Renew {
		return after, action, nil
	}
	var t rock.Transaction
	if err := after.AddTo(&t, before); err != nil {
		return before, lease.Wait, err
	}
	if err := d.settings.Table.Commit(ctx, t); err != nil {
		return before, lease.Wait, fmt.Errorf("%s lease of %s: %w", action, d.duty.Name(), err)
	}
	if action == lease.Acquire {
		d.settings.Log.WithField("duty", d.duty.Name()).WithField("epoch", after.Epoch()).Info("duty lease acquired")
	}
	return after, action, nil
}

func (d *dutyRunner) readLease(ctx context.Context) (lease.Lease, error) {
	name := d.duty.Name()
	rows, err := d.settings.Table.Read(ctx, lease.Key(name))
	if err != nil {
		return lease.Lease{}, fmt.Errorf("read lease of %s: %w", name, err)
	}
	return lease.Parse(name, rows[0])
}

// releaseTimeout is the timeout for releasing a lease at shutdown.
const releaseTimeout = 2 * time.Second

// release releases the lease if it is held, so that another entry need not wait
// until it expires.
func (d *dutyRunner) release(ctx context.Context) {
	if d.held.Holder() != d.settings.Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var t rock.Transaction
	if err := d.settings.Terms.Release(d.held).AddTo(&t, d.held); err != nil {
		return
	}
	if err := d.settings.Table.Commit(ctx, t); err != nil {
		d.settings.Log.WithField("duty", d.duty.Name()).WithError(err).Info("duty lease not released, it will expire")
	}
}
