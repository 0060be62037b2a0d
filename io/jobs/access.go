package jobs

import (
	"context"
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/io/auth"
)

// quotaRetryDelay is the wait that is suggested to a caller over its quota.
const quotaRetryDelay = 5 * time.Second

// findOwnJob returns the job that the request names, if it is the caller's. Another
// organisation's job is refused in the same words as one that does not exist.
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

// checkQuota refuses a job if its organisation has as many jobs waiting, and held
// by this entry, as its quota allows.
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

// submit makes the job's rows. A lost answer is settled by reading the job's
// row: the id is new, so the row is there only if the submission took effect.
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
		// Written again under the same condition, it takes effect once.
		again := s.commit(ctx, t)
		if again == nil || rock.ReasonOf(again) == rock.Conflict {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	s.requestRound()
	return nil
}

// progress returns the share of a job's work that is done, from 0 to 1.
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
	var known float64
	if held {
		known = i.observation.Status.Progress()
	}
	s.mu.Unlock()
	if held {
		return known
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
