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

// waver is the duty of running waves in one availability zone.
type waver struct {
	waits

	settings Settings
	sight    *sight
	zone     string
	// behind is the revision of the own latest change.
	behind   rock.Revision
	memory   drain.History
	cache    record.HostCache
	rebooted map[string]time.Time
	// active is the waves that may have a next step at the revision seen.
	active []rock.Record
	seen   rock.Revision
}

func newWaver(s Settings, sight *sight, zone string) *waver {
	return &waver{settings: s, sight: sight, zone: zone, rebooted: map[string]time.Time{}}
}

// Name implements [Duty].
func (w *waver) Name() string { return "waver." + w.zone }

// HasWork implements [ConditionalDuty].
func (w *waver) HasWork(fleet rock.Fleet) bool {
	if fleet.Revision() != w.seen {
		w.active, w.seen = activeWaves(fleet, w.zone), fleet.Revision()
	}
	return len(w.active) > 0
}

// Round implements [Duty]: it makes the next steps of every wave.
func (w *waver) Round(ctx context.Context, now time.Time, turn RoundParams) error {
	if turn.Fleet.Revision() < w.behind {
		return nil
	}
	w.memory.Rotate()
	view, err := w.sight.view(ctx, now, &w.memory)
	if err != nil {
		return err
	}
	plan := wave.Plan{
		Now: now, Fleet: turn.Fleet, Zone: w.zone, View: view, Room: w.settings.Budgets.Room(now, turn.Fleet),
		Rebooted: func(id string) (time.Time, bool) { at, ok := w.rebooted[id]; return at, ok },
		Choose:   w.settings.Order,
		Cache:    &w.cache,
	}
	var all []Waiting
	var errs []error
	for _, r := range w.active {
		for _, s := range plan.Steps(r) {
			waitsFor, err := w.make(ctx, now, turn, s)
			errs = append(errs, err)
			if waitsFor != "" {
				all = append(all, Waiting{subject(s), waitsFor, s.Since()})
			}
		}
	}
	w.set(now, all)
	return errors.Join(errs...)
}

// make makes a step, and returns what it waits for.
func (w *waver) make(ctx context.Context, now time.Time, turn RoundParams, s wave.Step) (string, error) {
	if s.Pending() {
		c, err := w.settings.Changer.Change(ctx, now, s.Proposal(turn.Holder, turn.Guard))
		if err != nil {
			return err.Error(), unexpected(err)
		}
		w.behind = max(w.behind, c.Revision())
		w.settings.Scope.Counter("wave_steps").Inc(1)
		w.settings.Log.WithField("change", c.ID()).Info("step made")
	}
	if s.RebootID() == "" {
		return s.WaitsFor(), nil
	}
	if err := w.settings.HostList.Reboot(ctx, s.Host(), s.RebootID()); err != nil {
		return fmt.Sprintf("the platform to take the restart of host %s: %v", s.Host(), err), nil
	}
	w.rebooted[s.RebootID()] = w.settings.Now()
	return s.WaitsFor(), nil
}

func subject(s wave.Step) string {
	if s.Host() == "" {
		return rock.NewKey(rock.KindWave, s.Wave()).String()
	}
	return rock.NewKey(rock.KindWave, s.Wave()).String() + " " + rock.NewKey(rock.KindHost, s.Host()).String()
}

// activeWaves returns the waves that may have a next step in the zone.
func activeWaves(f rock.Fleet, zone string) []rock.Record {
	var active []rock.Record
	for _, r := range f.Records(rock.KindWave) {
		w, err := record.WaveSpecOf(r)
		if err != nil {
			continue
		}
		if w.State == record.WaveRunning || closesHosts(f, r.Key(), w.Pools, zone) {
			active = append(active, r)
		}
	}
	return active
}

// closesHosts reports whether a host of the pools in the zone is closed for
// the record with that key.
func closesHosts(f rock.Fleet, key rock.Key, pools []string, zone string) bool {
	for _, p := range pools {
		for _, h := range f.PoolHosts(p, zone) {
			if !h.Open() && closedFor(f, h.Name(), key) {
				return true
			}
		}
	}
	return false
}
