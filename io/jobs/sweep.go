package jobs

import (
	"context"
	"strings"
	"time"

	rock "bramleyrock"
)

// sweepIfDue deletes the rows of jobs that ended longer ago than the retention
// time, and cancel requests for jobs that have ended or do not exist.
func (s *Jobs) sweepIfDue(ctx context.Context) error {
	now := s.settings.Now()
	if now.Sub(s.lastSweep) < s.settings.SweepInterval {
		return nil
	}
	s.lastSweep = now
	if err := s.sweepEnded(ctx, now); err != nil {
		return err
	}
	return s.sweepCancels(ctx)
}

// sweepEnded deletes the rows of up to maxBatch jobs whose retention time is
// over. It reads the oldest jobs only, since ids are in order of submission.
func (s *Jobs) sweepEnded(ctx context.Context, now time.Time) error {
	rows, err := s.scan(ctx, jobPrefix)
	if err != nil {
		return err
	}
	var t rock.Transaction
	for _, row := range rows {
		j, err := parseJob(row)
		if err != nil || len(t.Writes()) >= maxBatch || now.Sub(j.SubmittedAt()) < s.settings.EndedRetention {
			break
		}
		if j.State().Ended() && now.Sub(j.StateSince()) >= s.settings.EndedRetention {
			t.Require(row.Key(), row.Version())
			t.Delete(row.Key())
		}
	}
	return s.commitSweep(ctx, t)
}

func (s *Jobs) sweepCancels(ctx context.Context) error {
	rows, err := s.scan(ctx, cancelPrefix)
	if err != nil || len(rows) == 0 {
		return err
	}
	rows = rows[:min(len(rows), maxBatch)]
	keys := make([]string, len(rows))
	for n, row := range rows {
		keys[n] = jobKey(strings.TrimPrefix(row.Key(), cancelPrefix))
	}
	jobs, err := s.read(ctx, keys...)
	if err != nil {
		return err
	}
	var t rock.Transaction
	for n, row := range jobs {
		j, err := parseJob(row)
		if !row.Exists() || err == nil && j.State().Ended() {
			t.Require(rows[n].Key(), rows[n].Version())
			t.Delete(rows[n].Key())
		}
	}
	return s.commitSweep(ctx, t)
}

// commitSweep commits deletions. A conflict is no error: another entry may have
// deleted the rows first.
func (s *Jobs) commitSweep(ctx context.Context, t rock.Transaction) error {
	if len(t.Writes()) == 0 {
		return nil
	}
	err := s.commit(ctx, t)
	if rock.ReasonOf(err) == rock.Conflict {
		return nil
	}
	return err
}
