package site

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
)

const (
	// submitRetryDelay is the delay before a refused write of a job is retried.
	submitRetryDelay = 40 * time.Millisecond
	// submitRetryPeriod is how long a refused write is retried before the caller
	// is refused. It covers a short burst of refusals and is a fraction of any
	// queue's objective.
	submitRetryPeriod = 250 * time.Millisecond
	// maxTableSilence is how long the table may be silent before callers are
	// refused at once. A waiting call is answered within feedWait, and a slow
	// answer takes up to 0.3 s.
	maxTableSilence = feedWait + 500*time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After header while the
	// platform does not answer. Its outages last for seconds, and callers retry
	// only a few times.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
	// maxReadySilence is how long the platform may be silent before the entry
	// reports that it is not ready for new connections.
	maxReadySilence = time.Second
)

// FindQueue returns the queue for a host and path, and the path after the queue's
// prefix.
func (s *Site) FindQueue(host, path string) (works.Queue, string, error) {
	c := s.view.current()
	if c == nil {
		return works.Queue{}, "", rock.Fail("find queue", host+path, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Becausef("no configuration has been read")
	}
	q, rest, ok := c.FindQueue(host, path)
	if !ok {
		s.log.WithFields(logrus.Fields{"host": host, "path": path, "config": c.Version}).Info("No such queue.")
		return q, "", rock.Fail("find queue", host+path, rock.NotFound, rock.NotRun)
	}
	return q, rest, nil
}

// MaxBody returns the largest accepted body size in bytes, or 0 if no configuration
// has been read.
func (s *Site) MaxBody() int64 {
	if c := s.view.current(); c != nil {
		return c.MaxBodyBytes
	}
	return 0
}

// Ready returns nil if the balancer should send new connections to the entry, and
// the reason otherwise.
func (s *Site) Ready() error {
	now := s.now()
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	switch {
	case s.view.stopping:
		return fmt.Errorf("the entry is stopping")
	case s.view.config == nil:
		return fmt.Errorf("no configuration has been read")
	case s.view.answeredSince.IsZero() && now.Sub(s.view.answeredAt) > maxReadySilence:
		return fmt.Errorf("the platform's table does not answer")
	}
	return nil
}

// checkTable returns a failure if the table has been silent for so long that the
// call would most likely time out. The caller can then try another entry, which may
// reach the table.
func (s *Site) checkTable(op, id string) error {
	now := s.now()
	silent, failing := s.view.tableSilence(now)
	if silent <= submitRetryPeriod || !failing && silent <= maxTableSilence {
		return nil
	}
	s.meters.refused.Inc(1)
	s.log.WithFields(logrus.Fields{"job": id, "call": op, "silent_ms": silent.Milliseconds(), "failing": failing}).Info("Call refused, the table does not answer.")
	retryAfter := min(maxRetryAfter, max(minRetryAfter, silent)) // expect the outage to last as long again
	return rock.Fail(op, "job "+id, rock.Unavailable, rock.NotRun).RetryIn(retryAfter).Becausef("the platform's table has not answered for %v", silent)
}

// Submit stores a job. It returns nil once the job is stored, also if an earlier
// call stored it. The verdict [rock.NotRun] means that the job is not stored.
func (s *Site) Submit(ctx context.Context, q works.Queue, id string, spec works.Spec) error {
	if err := s.checkTable("submit", id); err != nil {
		return err
	}
	started := s.now()
	cell := cellOf(q.Pool)
	value, err := works.EncodeJob(works.Job{ID: id, Queue: q.Name, Accepted: started, Spec: spec, Settings: q.Settings()})
	if err == nil && len(value) > s.settings.maxRowBytes() {
		err = fmt.Errorf("job has %d bytes when it is stored: want at most %d", len(value), s.settings.maxRowBytes())
	}
	if err != nil {
		return rock.Fail("submit", "job "+id, rock.BadInput, rock.NotRun).Because(err)
	}
	if accepted, err := s.checkRoom(ctx, q, id, &spec); accepted || err != nil {
		return err
	}
	version, attempts, err := s.acceptJob(ctx, started, q, id, value)
	took := s.now().Sub(started)
	s.meters.submitTime.RecordDuration(took)
	logger := s.log.WithFields(logrus.Fields{
		"job": id, "queue": q.Name, "cell": cell, "config": s.configVersion(), "took_ms": took.Milliseconds(), "tries": attempts,
		"steps": len(spec.Steps),
	})
	switch {
	case err == nil:
		s.meters.submitted.Inc(1)
		logger.WithField("row_version", version).Info("Job accepted.")
		return nil
	case rock.ReasonOf(err) == rock.Conflict:
		logger.Info("Job was accepted before.")
		return nil
	case rock.ReasonOf(err) == rock.Cancelled:
		s.meters.refused.Inc(1)
		logger.Info("Job refused, it was cancelled before.")
		return err
	case rock.VerdictOf(err) == rock.NotRun:
		s.meters.refused.Inc(1)
		logger.WithError(err).Info("Job refused.")
		return rock.Fail("submit", "job "+id, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Because(err)
	}
	s.meters.unsettled.Inc(1)
	logger.WithError(err).Info("Job may be accepted.")
	return err
}

func (s *Site) configVersion() int64 {
	if c := s.view.current(); c != nil {
		return c.Version
	}
	return 0
}

// acceptJob stores a submitted job in the cell of its queue's pool, unless another cell that
// may have jobs of the queue has it. It fails with [rock.Conflict] if the job was accepted
// before.
func (s *Site) acceptJob(ctx context.Context, started time.Time, q works.Queue, id string, value []byte) (version uint64, attempts int, err error) {
	others, err := s.awaitRecord(ctx, q)
	if err != nil {
		return 0, 0, err
	}
	for _, cell := range others {
		r, err := s.sealJob(ctx, cell, id, movedMark)
		if err != nil {
			return 0, 0, err
		}
		switch {
		case r.stored():
			return 0, 0, rock.Fail("submit", "job "+id, rock.Conflict, rock.NotRun).Becausef("cell %s has the job", cell)
		case r.cancelled():
			return 0, 0, s.refuseCancelled(ctx, q, id)
		}
	}
	cell := cellOf(q.Pool)
	version, attempts, err = s.storeJob(ctx, started, cell, id, value)
	if rock.ReasonOf(err) == rock.Conflict {
		err = s.explainConflict(ctx, q, id, err)
	}
	return version, attempts, err
}

// storeJob stores the row of a submitted job, and retries until the outcome is known
// or ctx ends. It returns the verdict [rock.NotRun] only if none of the attempts can
// have stored the job. Attempts may use different parts: the owner of the cell
// treats two rows of a job as one job.
func (s *Site) storeJob(ctx context.Context, started time.Time, cell, id string, value []byte) (version uint64, attempts int, err error) {
	var unsettled error
	table := jobTable(cell)
	for {
		part := s.unresponsive.sort(s.now(), intakeParts(cell, id))[0]
		attempts++
		var t rock.Transaction
		t.Require(key(table, part, id+jobSuffix), 0)
		t.Put(key(table, part, id+jobSuffix), value)
		version, err = s.storeInPart(ctx, part, t)
		if ctx.Err() == nil {
			s.recordPartAnswer(part, err)
			s.unresponsive.record(s.now(), part, isAnswer(err))
		}
		switch {
		case err == nil || rock.ReasonOf(err) == rock.Conflict:
			return version, attempts, err
		case rock.VerdictOf(err) != rock.NotRun:
			unsettled = err
		case unsettled == nil && s.now().Sub(started) > submitRetryPeriod && attempts >= intakePartsPerJob:
			return 0, attempts, err
		}
		if sleep(ctx, submitRetryDelay) != nil {
			if unsettled != nil {
				return 0, attempts, unsettled
			}
			return 0, attempts, err
		}
	}
}

// storeInPart stores a job in one part, batched with other jobs for that part.
func (s *Site) storeInPart(ctx context.Context, part string, t rock.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	return s.batcherOf(part).submit(ctx, s, t)
}

// intakeTimeout bounds the wait for one part to store a job, out of the 3 s that
// callers wait. While the platform is slow, a part takes 0.2 s for a transaction, and
// the job may have to wait for an earlier batch.
const intakeTimeout = 700 * time.Millisecond

// State returns the state of a job. It fails with [rock.Expired] if the job is not known.
func (s *Site) State(ctx context.Context, q works.Queue, id string) (works.State, error) {
	if err := s.checkTable("read", id); err != nil {
		return "", err
	}
	r, err := s.findJob(ctx, q, id, false)
	switch {
	case err != nil:
		s.log.WithError(err).WithField("job", id).Info("Job state cannot be read.")
		return "", err
	case r.outcome != nil:
		o, err := works.DecodeOutcome(r.outcome.Value())
		if err != nil {
			return "", rock.Fail("read", "job "+id, rock.Internal, rock.MayHaveRun).Because(err)
		}
		return o.State, nil
	case r.progress != nil:
		return works.Running, nil
	case r.job != nil && !r.ended():
		return works.Queued, nil
	}
	s.log.WithField("job", id).WithField("queue", q.Name).Info("Job is not known.")
	return "", rock.Fail("read", "job "+id, rock.Expired, rock.NotRun)
}

// Cancel stores a request to cancel a job, and retries until ctx ends. It returns nil
// if the job has ended, and fails with [rock.Expired] if the job is not known. Such a job is
// not stored any more, also by a submission that is still being carried out.
func (s *Site) Cancel(ctx context.Context, q works.Queue, id string) error {
	logger := s.log.WithField("job", id).WithField("queue", q.Name)
	for {
		r, err := s.findJob(ctx, q, id, true)
		if err != nil {
			if sleep(ctx, submitRetryDelay) != nil {
				logger.WithError(err).Info("Cancellation refused.")
				return err
			}
			continue
		}
		if r.outcome != nil {
			logger.Info("Cancellation of an ended job.")
			return nil
		}
		if r.ended() && r.stored() {
			logger.Info("Cancellation of a job that ended long ago.")
			return rock.Fail("cancel", "job "+id, rock.Expired, rock.NotRun)
		}
		if !r.stored() {
			stored, err := s.sealEverywhere(ctx, q, id)
			if err == nil && !stored {
				logger.Info("Cancellation of an unknown job.")
				return rock.Fail("cancel", "job "+id, rock.Expired, rock.NotRun)
			}
			if sleep(ctx, submitRetryDelay) != nil {
				logger.WithError(err).Info("Cancellation refused.")
				return rock.Fail("cancel", "job "+id, rock.OutcomeUnknown, rock.MayHaveRun).Because(cmp.Or(err, ctx.Err()))
			}
			continue // the job is stored now, or a part could not be sealed
		}
		var t rock.Transaction
		t.Require(r.job.Key(), r.job.Version())
		t.Put(strings.TrimSuffix(r.job.Key(), jobSuffix)+cancelSuffix, []byte{1})
		_, err = s.settings.Store.Apply(ctx, t)
		if ctx.Err() == nil {
			part, _ := splitKey(r.job.Key())
			s.recordPartAnswer(part, err)
		}
		if err == nil {
			logger.Info("Job cancelled.")
			return nil
		}
		if sleep(ctx, submitRetryDelay) != nil {
			logger.WithError(err).Info("Job may be cancelled.")
			return err
		}
	}
}
