package site

import (
	"context"
	"slices"
	"time"

	"bramleyrock/core/trail"
	"bramleyrock/core/works"
)

// sweepTrail removes the cell's pool from the records of the queues that are sent to another
// pool, or are no longer configured, once the cell has had no job of them for as long as
// their outcomes are retained.
func (o *cellOwner) sweepTrail(ctx context.Context) {
	queues, _ := o.site.view.queues()
	var listed []string
	o.site.trail.with(func(t *trail.Trail) { listed = t.Queues(o.pool) })
	answers := make(chan []string, 1)
	o.enqueue(ctx, func(now time.Time) { answers <- o.unusedQueues(now, listed, queues) })
	var unused []string
	select {
	case unused = <-answers:
	case <-ctx.Done():
		return
	}
	if len(unused) > 0 {
		o.site.removeFromTrail(ctx, unused, o.pool, queues)
	}
}

// unusedQueues returns the listed queues that are not sent to the cell's pool and of which
// the cell has had no job for the time for which outcomes are retained.
func (o *cellOwner) unusedQueues(now time.Time, listed []string, queues []works.Queue) []string {
	if o.idleQueues == nil {
		o.idleQueues = map[string]time.Time{}
	}
	var unused []string
	for _, name := range listed {
		i := slices.IndexFunc(queues, func(q works.Queue) bool { return q.Name == name })
		if i >= 0 && queues[i].Pool == o.pool || len(o.unreadParts) > 0 || o.state.HasJobsOf(name) {
			delete(o.idleQueues, name)
			continue
		}
		since, ok := o.idleQueues[name]
		switch {
		case !ok:
			o.idleQueues[name] = now
		case now.Sub(since) > retentionFactor*o.site.settings.OutcomeRetention:
			unused = append(unused, name)
		}
	}
	return unused
}

// removeFromTrail removes a pool from the records of queues. A copy that cannot be written
// is tried again by the next sweep.
func (s *Site) removeFromTrail(ctx context.Context, names []string, pool string, queues []works.Queue) {
	s.trail.writing.Lock()
	defer s.trail.writing.Unlock()
	forEachCopy(ctx, allCopies, func(ctx context.Context, number int) {
		var changes []trail.Change
		s.trail.with(func(t *trail.Trail) {
			for _, name := range names {
				configured := slices.ContainsFunc(queues, func(q works.Queue) bool { return q.Name == name })
				changes = append(changes, t.Removals(number, name, pool, configured)...)
			}
		})
		s.writeTrail(ctx, number, changes)
	})
}
