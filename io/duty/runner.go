package duty

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"bramleyrock/core/group"
)

// Runner runs the duties of one entry. It is safe for concurrent use.
type Runner struct {
	set      Settings
	sight    *sight
	mover    *mover
	holdings []*holding
}

// New returns a runner that does nothing until it is run.
func New(s Settings) *Runner {
	s = s.withDefaults()
	r := &Runner{set: s, sight: newSight(s)}
	r.mover = newMover(s, r.sight)
	for _, d := range append([]Duty{r.mover}, s.Duties...) {
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
	g.Go("host list", r.watchHosts)
	return g.Wait()
}

// Turn runs one turn of every duty, one after another, for callers that keep
// their own time. It must not be called while the runner runs.
func (r *Runner) Turn(ctx context.Context) error {
	if err := r.sight.refreshHosts(ctx, r.set.Now()); err != nil {
		return err
	}
	var errs []error
	for _, h := range r.holdings {
		_, err := h.turn(ctx)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Status returns the moves and waves that this entry holds and that wait at
// the time now, in order of their records' keys.
func (r *Runner) Status(_ time.Time) []Waiting {
	all := r.mover.waiting()
	slices.SortFunc(all, func(a, b Waiting) int { return strings.Compare(a.subject, b.subject) })
	return all
}

// watchHosts keeps the observer's list of hosts fresh.
func (r *Runner) watchHosts(ctx context.Context) error {
	for {
		if err := r.sight.refreshHosts(ctx, r.set.Now()); err != nil {
			r.set.Log.WithError(err).Warn("host list not read")
		}
		if err := pause(ctx, r.set.ListInterval); err != nil {
			return err
		}
	}
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
