package jobs

import (
	"context"
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/io/auth"
)

// quotaRetryDelay is the retry delay that is suggested to a caller over its
// quota.
const quotaRetryDelay = 5 * time.Second

// findOwnJob returns the job that the request names and the version of its row.
// It returns the same error for a job of another organisation as for one that
// does not exist, so that callers cannot find out which ids exist.
func (s *Jobs) findOwnJob(r *http.Request) (job.Job, uint64, error) {
	_, id, err := auth.Caller(s.settings.Fleet, r)
	if err != nil {
		return job.Job{}, 0, err
	}
	name := r.PathValue("id")
	refusal := rock.Fail("find", "job", rock.NotFound, rock.NotRun).Becausef("organisation %s has no job %q", id.Organisation(), name)
	if rock.CheckName(name) != nil {
		return job.Job{}, 0, refusal
	}
	rows, err := s.read(r.Context(), jobKey(name))
	if err != nil {
		return job.Job{}, 0, err
	}
	if !rows[0].Exists() {
		return job.Job{}, 0, refusal
	}
	j, err := parseJob(rows[0])
	if err != nil {
		return job.Job{}, 0, rock.Fail("read", "job "+name, rock.Internal, rock.NotRun).Because(err)
	}
	if j.Organisation() != id.Organisation() {
		return job.Job{}, 0, refusal
	}
	return j, rows[0].Version(), nil
}

// checkQuota refuses a further job of the organisation if its jobs that are
// waiting or held by this entry reach its quota. A quota of 0 means no bound.
func (s *Jobs) checkQuota(fleet rock.Fleet, organisation string) error {
	quota := fleet.Quota(organisation)
	if quota == 0 {
		return nil
	}
	s.mu.Lock()
	n := 0
	for _, w := range s.waiting {
		if _, held := s.held[w.id]; !held && w.Organisation == organisation {
			n++
		}
	}
	for _, i := range s.held {
		if i.job.Organisation() == organisation {
			n++
		}
	}
	s.mu.Unlock()
	if n < quota {
		return nil
	}
	return rock.Fail("admit", "organisation "+organisation, rock.QuotaExceeded, rock.NotRun).
		RetryIn(quotaRetryDelay).Becausef("%d jobs are waiting or running, its quota is %d", n, quota)
}

// submit writes the rows of a new job. If the answer is lost, it commits once
// more under the condition that the job's row does not exist. The id is new, so
// a conflict then means that the first commit took effect.
func (s *Jobs) submit(ctx context.Context, j job.Job) error {
	var t rock.Transaction
	t.Require(jobKey(j.ID()), 0)
	if err := putJSON(&t, jobKey(j.ID()), j); err != nil {
		return badInput("payload: %w", err)
	}
	if err := putWaiting(&t, j); err != nil {
		return badInput("%w", err)
	}
	err := s.commit(ctx, t)
	if err != nil && rock.VerdictOf(err) == rock.MayHaveRun {
		// The condition makes the transaction take effect at most once.
		retryErr := s.commit(ctx, t)
		if retryErr == nil || rock.ReasonOf(retryErr) == rock.Conflict {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	s.requestRound()
	return nil
}

// progress returns the fraction of a job's work that is done, from 0 to 1. For a
// job of another entry it is the progress that the entry last saved, or 0 if that
// cannot be read.
func (s *Jobs) progress(ctx context.Context, j job.Job) float64 {
	switch j.State() {
	case job.Done:
		return 1
	case job.Running:
	default:
		return 0
	}
	s.mu.Lock()
	i, held := s.held[j.ID()]
	var current float64
	if held {
		current = i.observation.Status.Progress()
	}
	s.mu.Unlock()
	if held {
		return current
	}
	rows, err := s.read(ctx, heldKey(j.Holder()))
	if err != nil {
		return 0
	}
	list, err := parseHeld(rows[0])
	if err != nil {
		return 0
	}
	return list.Jobs[j.ID()]
}
