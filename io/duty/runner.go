package duty

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// Runner runs the duties of one entry. It is safe for concurrent use.
type Runner struct {
	settings Settings
	observer *observer

	mu            sync.Mutex
	duties        []*dutyRunner
	zones         map[string]bool // zones that have a wave duty
	zonesRevision rock.Revision   // configuration that zones was last read from
}

// New returns a runner. It does nothing until [Runner.Run] or [Runner.RunOnce] is
// called.
func New(s Settings) *Runner {
	s = s.withDefaults()
	r := &Runner{settings: s, observer: newObserver(s), zones: map[string]bool{}}
	duties := []Duty{newMover(s, r.observer)}
	if s.Loads != nil {
		duties = append(duties, newPlanner(s))
	}
	for _, d := range append(duties, s.Duties...) {
		r.duties = append(r.duties, &dutyRunner{settings: s, duty: d})
	}
	return r
}

// Run runs the duties until ctx ends, and then releases their leases.
func (r *Runner) Run(ctx context.Context) error {
	g := group.New(ctx)
	for _, d := range r.duties {
		g.Go(d.duty.Name(), d.run)
	}
	g.Go("zones", func(ctx context.Context) error {
		for {
			for _, d := range r.addZones() {
				g.Go(d.duty.Name(), d.run)
			}
			if err := pause(ctx, r.settings.Interval); err != nil {
				return err
			}
		}
	})
	return g.Wait()
}

// addZones adds a wave duty for each availability zone that is new in the
// configuration, and returns the added duties.
func (r *Runner) addZones() []*dutyRunner {
	fleet, ok := r.settings.Fleet.Fleet()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || fleet.Revision() == r.zonesRevision {
		return nil
	}
	r.zonesRevision = fleet.Revision()
	var added []*dutyRunner
	for _, record := range fleet.Records(rock.KindPool) {
		for _, h := range fleet.PoolHosts(record.Key().Name(), "") {
			if r.zones[h.Zone()] {
				continue
			}
			r.zones[h.Zone()] = true
			added = append(added, &dutyRunner{settings: r.settings, duty: newWaveDuty(r.settings, r.observer, h.Zone())})
		}
	}
	r.duties = append(r.duties, added...)
	return added
}

// RunOnce runs every duty once, one after another, for callers that schedule the
// rounds themselves. It must not be called while [Runner.Run] runs.
func (r *Runner) RunOnce(ctx context.Context) error {
	r.addZones()
	var errs []error
	for _, d := range r.duties {
		_, err := d.runOnce(ctx)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Status returns what the duties held by this entry wait for at the time now,
// sorted by subject.
func (r *Runner) Status(now time.Time) []Waiting {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Waiting
	for _, d := range r.duties {
		if w, ok := d.duty.(interface{ waiting(time.Time) []Waiting }); ok {
			all = append(all, w.waiting(now)...)
		}
	}
	slices.SortFunc(all, func(a, b Waiting) int { return strings.Compare(a.subject, b.subject) })
	return all
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
