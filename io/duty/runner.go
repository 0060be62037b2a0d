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
	set   Settings
	sight *sight

	mu       sync.Mutex
	holdings []*holding
	wavers   map[string]bool
	seen     rock.Revision
}

// New returns a runner that does nothing until it is run.
func New(s Settings) *Runner {
	s = s.withDefaults()
	r := &Runner{set: s, sight: newSight(s), wavers: map[string]bool{}}
	duties := []Duty{newMover(s, r.sight)}
	if s.Loads != nil {
		duties = append(duties, newPlanner(s))
	}
	for _, d := range append(duties, s.Duties...) {
		r.holdings = append(r.holdings, &holding{set: s, duty: d})
	}
	return r
}

// Run runs the duties until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	g := group.New(ctx)
	for _, h := range r.holdings {
		g.Go(h.duty.Name(), h.run)
	}
	g.Go("zones", func(ctx context.Context) error {
		for {
			for _, h := range r.newZones() {
				g.Go(h.duty.Name(), h.run)
			}
			if err := pause(ctx, r.set.Interval); err != nil {
				return err
			}
		}
	})
	return g.Wait()
}

// newZones adds a waver for each availability zone that was not known yet, and
// returns them.
func (r *Runner) newZones() []*holding {
	fleet, ok := r.set.Fleet.Fleet()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || fleet.Revision() == r.seen {
		return nil
	}
	r.seen = fleet.Revision()
	var added []*holding
	for _, record := range fleet.Records(rock.KindPool) {
		for _, h := range fleet.PoolHosts(record.Key().Name(), "") {
			if r.wavers[h.Zone()] {
				continue
			}
			r.wavers[h.Zone()] = true
			added = append(added, &holding{set: r.set, duty: newWaver(r.set, r.sight, h.Zone())})
		}
	}
	r.holdings = append(r.holdings, added...)
	return added
}

// RunOnce runs one turn of every duty, one after another, for callers that keep
// their own time. It must not be called while the runner runs.
func (r *Runner) RunOnce(ctx context.Context) error {
	r.newZones()
	var errs []error
	for _, h := range r.holdings {
		_, err := h.turn(ctx)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Status returns the moves and waves that this entry holds and that wait at
// the time now, in order of their records' keys.
func (r *Runner) Status(now time.Time) []Waiting {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Waiting
	for _, h := range r.holdings {
		if w, ok := h.duty.(interface{ waiting(time.Time) []Waiting }); ok {
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
