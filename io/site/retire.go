package site

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
)

const (
	// retireInterval is the time between the cleanings of ended jobs, so that
	// many are cleaned in one transaction.
	retireInterval = 2 * time.Second
	// retireRows bounds the jobs that are cleaned at once: each has two rows, of
	// the platform's 100 in a transaction.
	retireRows = 45
)

// retiredJob is a job whose outcome is stored.
type retiredJob struct {
	id string
	// cancelled is true if its caller's wish to end it may be stored.
	cancelled bool
	// parts holds the parts with its row.
	parts []string
}

// retireJob notes that a job has an outcome, so that its rows are to be marked.
func (o *owner) retireJob(id string, cancelled bool) {
	parts := intakeParts(o.cell, id)[:1]
	for _, p := range o.strays[id] {
		if p != parts[0] {
			parts = append(parts, p)
		}
	}
	delete(o.strays, id)
	o.retired = append(o.retired, retiredJob{id: id, cancelled: cancelled, parts: parts})
}

// retire notes the jobs of a stored batch that have ended.
func (o *owner) retire(b *cell.Batch) {
	for _, w := range b.JobWrites {
		if w.Ended {
			o.outcomes[w.ID] = w.Outcome
			o.retireJob(w.ID, w.HasCancelRow)
		}
	}
}

// retireJobs marks the rows of jobs that have ended, until ctx ends. A marked row is
// kept, since the same job may be handed in again. What is not marked now is by the
// next owner, who finds the outcome.
func (o *owner) retireJobs(ctx context.Context) error {
	for {
		if err := pause(ctx, retireInterval); err != nil {
			return nil
		}
		answers := make(chan []retiredJob, 1)
		o.post(ctx, func(time.Time) {
			answers <- o.retired
			o.retired = nil
		})
		select {
		case jobs := <-answers:
			o.mark(ctx, jobs)
		case <-ctx.Done():
			return nil
		}
	}
}

// mark marks the rows of the jobs as ended; those that cannot be are tried again.
func (o *owner) mark(ctx context.Context, jobs []retiredJob) {
	parts := map[string][]retiredJob{}
	for _, j := range jobs {
		for _, part := range j.parts {
			parts[part] = append(parts[part], j)
		}
	}
	var failed []retiredJob
	for part, list := range parts {
		for len(list) > 0 {
			n := min(len(list), retireRows)
			var t rock.Transaction
			for _, j := range list[:n] {
				t.Put(key(o.table, part, j.id+jobSuffix), endedMark)
				if j.cancelled {
					t.Delete(key(o.table, part, j.id+cancelSuffix))
				}
			}
			if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
				o.log.WithError(err).WithField("part", part).WithField("jobs", n).Info("Ended jobs are not marked yet.")
				for _, j := range list[:n] {
					failed = append(failed, retiredJob{id: j.id, cancelled: j.cancelled, parts: []string{part}})
				}
			}
			list = list[n:]
		}
	}
	open := map[string]bool{}
	for _, j := range failed {
		open[j.id] = true
	}
	o.post(ctx, func(time.Time) {
		o.retired = append(failed, o.retired...)
		for _, j := range jobs {
			if !open[j.id] {
				delete(o.outcomes, j.id)
			}
		}
	})
}
