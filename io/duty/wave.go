package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/drain"
	"bramleyrock/core/record"
	"bramleyrock/core/wave"
)

// waveDuty is the duty of running the maintenance waves in one availability zone.
type waveDuty struct {
	waitingList

	settings Settings
	observer *observer
	zone     string
	// lastOwnRevision is the revision of the latest change made here. Rounds
	// are skipped until the configuration has reached it.
	lastOwnRevision   rock.Revision
	history           drain.History
	cache             record.HostCache
	rebootRequestedAt map[string]time.Time // by reboot id, when the platform accepted it
	// active holds the waves that may have a next step at activeRevision.
	active         []rock.Record
	activeRevision rock.Revision
}

func newWaveDuty(s Settings, o *observer, zone string) *waveDuty {
	return &waveDuty{settings: s, observer: o, zone: zone, rebootRequestedAt: map[string]time.Time{}}
}

// Name implements [Duty].
func (w *waveDuty) Name() string { return "waver." + w.zone }

// HasWork implements [ConditionalDuty].
func (w *waveDuty) HasWork(fleet rock.Fleet) bool {
	if fleet.Revision() != w.activeRevision {
		w.active, w.activeRevision = activeWaves(fleet, w.zone), fleet.Revision()
	}
	return len(w.active) > 0
}

// Round implements [Duty]. It makes the next steps of every active wave.
func (w *waveDuty) Round(ctx context.Context, now time.Time, params RoundParams) error {
	if params.Fleet.Revision() < w.lastOwnRevision {
		return nil
	}
	w.history.Rotate()
	view, err := w.observer.view(ctx, now, &w.history)
	if err != nil {
		return err
	}
	plan := wave.Plan{
		Now: now, Fleet: params.Fleet, Zone: w.zone, View: view, Headroom: w.settings.Budgets.Headroom(now, params.Fleet),
		RebootConfirmedAt: func(id string) (time.Time, bool) { at, ok := w.rebootRequestedAt[id]; return at, ok },
		Order:             w.settings.Order,
		Cache:             &w.cache,
	}
	var all []Waiting
	var errs []error
	for _, r := range w.active {
		for _, s := range plan.Steps(r) {
			waitsFor, err := w.apply(ctx, now, params, s)
			errs = append(errs, err)
			if waitsFor != "" {
				all = append(all, Waiting{subject(s), waitsFor, s.Since()})
			}
		}
	}
	w.set(now, all)
	return errors.Join(errs...)
}

// apply commits the step's change and requests its reboot, if it has them, and
// returns what the step waits for. Transient failures are not returned as errors.
func (w *waveDuty) apply(ctx context.Context, now time.Time, params RoundParams, s wave.Step) (string, error) {
	if s.Pending() {
		c, err := w.settings.Changer.Change(ctx, now, s.Proposal(params.Holder, params.Guard))
		if err != nil {
			return err.Error(), dropTransient(err)
		}
		w.lastOwnRevision = max(w.lastOwnRevision, c.Revision())
		w.settings.Scope.Counter("wave_steps").Inc(1)
		w.settings.Log.WithField("change", c.ID()).Info("wave step committed")
	}
	if s.RebootID() == "" {
		return s.WaitsFor(), nil
	}
	if err := w.settings.HostList.Reboot(ctx, s.Host(), s.RebootID()); err != nil {
		return fmt.Sprintf("the platform to take the restart of host %s: %v", s.Host(), err), nil
	}
	w.rebootRequestedAt[s.RebootID()] = w.settings.Now()
	return s.WaitsFor(), nil
}

// subject returns the keys of the step's wave and host, for [Waiting].
func subject(s wave.Step) string {
	if s.Host() == "" {
		return rock.NewKey(rock.KindWave, s.Wave()).String()
	}
	return rock.NewKey(rock.KindWave, s.Wave()).String() + " " + rock.NewKey(rock.KindHost, s.Host()).String()
}

// activeWaves returns the waves that may have a next step in the zone: those that
// run, and those that have stopped but still hold hosts closed there.
func activeWaves(f rock.Fleet, zone string) []rock.Record {
	var active []rock.Record
	for _, r := range f.Records(rock.KindWave) {
		w, err := record.WaveSpecOf(r)
		if err != nil {
			continue
		}
		if w.State == record.WaveRunning || hasClosedHosts(f, r.Key(), w.Pools, zone) {
			active = append(active, r)
		}
	}
	return active
}

// hasClosedHosts reports whether a host of the pools in the zone was closed by
// the record with that key.
func hasClosedHosts(f rock.Fleet, key rock.Key, pools []string, zone string) bool {
	for _, p := range pools {
		for _, h := range f.PoolHosts(p, zone) {
			if !h.Open() && isClosedBy(f, h.Name(), key) {
				return true
			}
		}
	}
	return false
}
