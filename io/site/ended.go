package site

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
)

const (
	// markInterval is the time between writes that mark ended jobs, so that one
	// transaction marks many.
	markInterval = 2 * time.Second
	// maxMarkedJobs bounds the jobs that are marked in one transaction. Each has two
	// rows, and the platform's limit is 100 rows.
	maxMarkedJobs = 45
)

// endedJob is a job whose outcome is stored and whose row is not marked as ended yet.
type endedJob struct {
	id string
	// cancelled is true if a row with the caller's request to cancel may exist.
	cancelled bool
	// parts holds the intake parts that have a row of the job.
	parts []string
}

// addEndedJob queues a job with a stored outcome, so that its rows are marked.
func (o *cellOwner) addEndedJob(id string, cancelled bool) {
	parts := intakeParts(o.cell, id)[:1]
	for _, p := range o.extraParts[id] {
		if p != parts[0] {
			parts = append(parts, p)
		}
	}
	delete(o.extraParts, id)
	o.endedJobs = append(o.endedJobs, endedJob{id: id, cancelled: cancelled, parts: parts})
}

// addEndedJobs queues the jobs that ended with a stored batch.
func (o *cellOwner) addEndedJobs(b *cell.Batch) {
	for _, w := range b.JobWrites {
		if w.Ended {
			o.unmarkedOutcomes[w.ID] = w.Outcome
			o.addEndedJob(w.ID, w.HasCancelRow)
		}
	}
}

// markEndedJobs marks the rows of ended jobs until ctx ends. A marked row is kept,
// since the same job may be submitted again. The next owner marks the rows that this
// owner does not mark, because it finds the outcomes.
func (o *cellOwner) markEndedJobs(ctx context.Context) error {
	for {
		if err := sleep(ctx, markInterval); err != nil {
			return nil
		}
		answers := make(chan []endedJob, 1)
		o.enqueue(ctx, func(time.Time) {
			answers <- o.endedJobs
			o.endedJobs = nil
		})
		select {
		case jobs := <-answers:
			o.markRows(ctx, jobs)
		case <-ctx.Done():
			return nil
		}
	}
}

// markRows marks the rows of the jobs as ended. Rows that cannot be written are queued
// again.
func (o *cellOwner) markRows(ctx context.Context, jobs []endedJob) {
	parts := map[string][]endedJob{}
	for _, j := range jobs {
		for _, part := range j.parts {
			parts[part] = append(parts[part], j)
		}
	}
	var failed []endedJob
	for part, list := range parts {
		for len(list) > 0 {
			n := min(len(list), maxMarkedJobs)
			var t rock.Transaction
			for _, j := range list[:n] {
				t.Put(key(o.jobTable, part, j.id+jobSuffix), endedMark)
				if j.cancelled {
					t.Delete(key(o.jobTable, part, j.id+cancelSuffix))
				}
			}
			if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
				o.log.WithError(err).WithField("part", part).WithField("jobs", n).Info("Ended jobs are not marked yet.")
				for _, j := range list[:n] {
					failed = append(failed, endedJob{id: j.id, cancelled: j.cancelled, parts: []string{part}})
				}
			}
			list = list[n:]
		}
	}
	notMarked := map[string]bool{}
	for _, j := range failed {
		notMarked[j.id] = true
	}
	o.enqueue(ctx, func(time.Time) {
		o.endedJobs = append(failed, o.endedJobs...)
		for _, j := range jobs {
			if !notMarked[j.id] {
				delete(o.unmarkedOutcomes, j.id)
			}
		}
	})
}
