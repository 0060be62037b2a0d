package site

import (
	"context"
	"fmt"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
)

const (
	// submitRetryDelay is the time before a refused write of a job is repeated.
	submitRetryDelay = 40 * time.Millisecond
	// submitRetryPeriod is how long a job is held while the platform refuses the
	// write: a short burst of refusals, a fraction of any objective.
	submitRetryPeriod = 250 * time.Millisecond
	// maxTableSilence is how long the table may be silent before callers are
	// refused at once: a waiting call is answered within feedWait, and a slow
	// answer takes up to 0.3 s.
	maxTableSilence = feedWait + 500*time.Millisecond
	// minRetryAfter is the least Retry-After while the platform does not answer, and
	// longRest the greatest: its outages last for seconds, and callers try only a
	// few times.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
	// maxReadySilence is how long the platform may be silent before the entry
	// asks the balancer for no more connections.
	maxReadySilence = time.Second
)

// FindQueue returns the queue of a call and what follows its prefix.
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

// MaxBody returns the greatest size of a body in bytes.
func (s *Site) MaxBody() int64 {
	if c := s.view.current(); c != nil {
		return c.MaxBodyBytes
	}
	return 0
}

// Ready returns nil if the entry should be given new connections.
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

// checkTable returns a failure if the table has not answered for so long that a
// caller would wait for it in vain. Another entry may reach it.
func (s *Site) checkTable(op, id string) error {
	now := s.now()
	silent, failing := s.view.tableSilence(now)
	if silent <= submitRetryPeriod || !failing && silent <= maxTableSilence {
		return nil
	}
	s.meters.refused.Inc(1)
	s.log.WithFields(logrus.Fields{"job": id, "call": op, "silent_ms": silent.Milliseconds(), "failing": failing}).Info("Call refused, the table does not answer.")
	rest := min(maxRetryAfter, max(minRetryAfter, silent)) // an outage that has lasted goes on for as long
	return rock.Fail(op, "job "+id, rock.Unavailable, rock.NotRun).RetryIn(rest).Becausef("the platform's table has not answered for %v", silent)
}

// Submit stores a job.
func (s *Site) Submit(ctx context.Context, q works.Queue, id string, spec works.Spec) error {
	if err := s.checkTable("submit", id); err != nil {
		return err
	}
	begun := s.now()
	cell := cellOf(q.Pool)
	value, err := works.EncodeJob(works.Job{ID: id, Queue: q.Name, Accepted: begun, Spec: spec})
	if err != nil {
		return rock.Fail("submit", "job "+id, rock.BadInput, rock.NotRun).Because(err)
	}
	version, tries, err := s.storeJob(ctx, begun, cell, id, value)
	took := s.now().Sub(begun)
	s.meters.submitTime.RecordDuration(took)
	line := s.log.WithFields(logrus.Fields{
		"job": id, "queue": q.Name, "cell": cell, "config": s.configVersion(), "took_ms": took.Milliseconds(), "tries": tries,
		"steps": len(spec.Steps),
	})
	switch {
	case err == nil:
		s.meters.submitted.Inc(1)
		line.WithField("row_version", version).Info("Job accepted.")
		return nil
	case rock.ReasonOf(err) == rock.Conflict:
		line.Info("Job was accepted before.")
		return nil
	case rock.VerdictOf(err) == rock.NotRun:
		s.meters.refused.Inc(1)
		line.WithError(err).Info("Job refused.")
		return rock.Fail("submit", "job "+id, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Because(err)
	}
	s.meters.unsettled.Inc(1)
	line.WithError(err).Info("Job may be accepted.")
	return err
}

func (s *Site) configVersion() int64 {
	if c := s.view.current(); c != nil {
		return c.Version
	}
	return 0
}

// storeJob stores a job as it was handed in, again and again until the outcome is
// known or ctx ends. It says that the job is not stored only if none of its tries
// can have stored it. Each try takes another part: the owner of the cell takes
// two rows of a job for one.
func (s *Site) storeJob(ctx context.Context, begun time.Time, cell, id string, value []byte) (version uint64, tries int, err error) {
	var open error
	table := jobTable(cell)
	for {
		part := s.unresponsive.sort(s.now(), intakeParts(cell, id))[0]
		tries++
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
			return version, tries, err
		case rock.VerdictOf(err) != rock.NotRun:
			open = err
		case open == nil && s.now().Sub(begun) > submitRetryPeriod && tries >= intakePartsPerJob:
			return 0, tries, err
		}
		if sleep(ctx, submitRetryDelay) != nil {
			if open != nil {
				return 0, tries, open
			}
			return 0, tries, err
		}
	}
}

// storeInPart makes the write of a job together with others of its part.
func (s *Site) storeInPart(ctx context.Context, part string, t rock.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	return s.batcherOf(part).submit(ctx, s, t)
}

// intakeTimeout is how long a job waits for one part to store it, of the 3 s that
// callers wait: in a slow spell a part makes a transaction in 0.2 s, and a job may
// come behind another batch.
const intakeTimeout = 700 * time.Millisecond

// jobRows are the rows of a job.
type jobRows struct {
	job, progress, outcome *rock.Row
}

// ended reports whether the job's row says that there is an outcome.
func (r jobRows) ended() bool { return r.job != nil && isEndedMark(r.job.Value()) }

// readJob reads the rows of a job: as it was handed in only if the cell does not
// know it, or always if handed is true.
func (s *Site) readJob(ctx context.Context, q works.Queue, id string, handed bool) (jobRows, error) {
	cell := cellOf(q.Pool)
	var record tenure.Record
	s.view.withCell(cell, func(c *cellView) { record = c.challenger.Record() })
	main := record.Main
	var r jobRows
	err := s.readRows(ctx, cell, homePart(cell, main), id, &r)
	if err == nil && r.progress != nil {
		err = r.dropStaleProgress(record.CopiedSince)
	}
	if err == nil && (handed || r.progress == nil && r.outcome == nil) {
		err = s.readJobRow(ctx, cell, id, &r)
	}
	if err == nil && r.ended() && r.outcome == nil {
		err = s.readOutcome(ctx, cell, main, id, &r)
	}
	return r, err
}

// dropStaleProgress leaves out progress that was written to the home before the owner began to
// write all there again: the job may have ended since, in another home.
func (r *jobRows) dropStaleProgress(since works.Stamp) error {
	p, err := works.DecodeProgress(r.progress.Value())
	if err != nil {
		return err
	}
	if since.After(p.Stamp) {
		r.progress = nil
	}
	return nil
}

// readOutcome adds the outcome of a job that has ended: it may have done so in
// between, and its outcome may be in any home of the cell.
func (s *Site) readOutcome(ctx context.Context, cell string, main int, id string, r *jobRows) error {
	var failed error
	for i := range tenure.HomeCount {
		home := (main + i) % tenure.HomeCount
		if err := s.readRows(ctx, cell, homePart(cell, home), id, r); err != nil {
			failed = err
		}
		if r.outcome != nil {
			return nil
		}
	}
	return failed
}

// readJobRow adds the row of a job as it was handed in. It fails if the row was not
// found and a part that may hold it cannot be read.
func (s *Site) readJobRow(ctx context.Context, cell, id string, r *jobRows) error {
	var failed error
	for _, part := range s.unresponsive.sort(s.now(), intakeParts(cell, id)) {
		err := s.readRows(ctx, cell, part, id, r)
		if ctx.Err() == nil {
			s.unresponsive.record(s.now(), part, err == nil)
		}
		if r.job != nil {
			return nil
		}
		if err != nil {
			failed = err
		}
	}
	return failed
}

// readRows adds the rows of a job that a part holds.
func (s *Site) readRows(ctx context.Context, cell, part, id string, r *jobRows) error {
	// The suffixes sort between a slash and the character after it.
	c, err := s.settings.Store.List(ctx, jobTable(cell), part, id+"/", id+"0")
	if ctx.Err() == nil {
		s.recordPartAnswer(part, err)
	}
	if err != nil {
		return rock.Fail("read", "job "+id, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Because(err)
	}
	for i := range c.Rows {
		row := &c.Rows[i]
		_, name := splitKey(row.Key())
		switch _, suffix := splitJobName(name); suffix {
		case jobSuffix:
			r.job = row
		case progressSuffix:
			r.progress = row
		case outcomeSuffix:
			r.outcome = row
		}
	}
	return nil
}

// State returns the state of a job.
func (s *Site) State(ctx context.Context, q works.Queue, id string) (works.State, error) {
	if err := s.checkTable("read", id); err != nil {
		return "", err
	}
	r, err := s.readJob(ctx, q, id, false)
	switch {
	case err != nil:
		s.log.WithError(err).WithField("job", id).Info("State is not known.")
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
	s.log.WithField("job", id).WithField("queue", q.Name).Info("No such job.")
	return "", rock.Fail("read", "job "+id, rock.Expired, rock.NotRun)
}

// Cancel ends a job.
func (s *Site) Cancel(ctx context.Context, q works.Queue, id string) error {
	line := s.log.WithField("job", id).WithField("queue", q.Name)
	for {
		r, err := s.readJob(ctx, q, id, true)
		if err != nil {
			if sleep(ctx, submitRetryDelay) != nil {
				line.WithError(err).Info("Cancellation refused.")
				return err
			}
			continue
		}
		if r.outcome != nil {
			line.Info("Cancellation of an ended job.")
			return nil
		}
		if r.job == nil || r.ended() {
			line.Info("Cancellation of an unknown job.")
			return rock.Fail("cancel", "job "+id, rock.Expired, rock.NotRun)
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
			line.Info("Job cancelled.")
			return nil
		}
		if sleep(ctx, submitRetryDelay) != nil {
			line.WithError(err).Info("Job may be cancelled.")
			return err
		}
	}
}

// maxRenewalAge is how old an owner's word on its jobs may be, of the 2 s that the
// answer may be old.
const maxRenewalAge = 1500 * time.Millisecond

// CountWaiting returns the number of the queue's jobs that have not begun: as the
// cell's owner last told, or, if it has not told for long, as the rows tell.
func (s *Site) CountWaiting(ctx context.Context, q works.Queue) (int, error) {
	cell := cellOf(q.Pool)
	n, told := 0, time.Time{}
	s.view.withCell(cell, func(c *cellView) { n, told = c.renewal.WaitingJobs[q.Name], c.renewalAt })
	if s.now().Sub(told) <= maxRenewalAge {
		return n, nil
	}
	var homes []int
	s.view.withCell(cell, func(c *cellView) { homes = c.challenger.Record().Homes })
	l, err := s.listJobs(ctx, cell, homes)
	if ctx.Err() == nil {
		s.recordPartAnswer(cell, err)
	}
	if err == nil && len(l.unreadParts) > 0 {
		err = fmt.Errorf("%d parts cannot be read", len(l.unreadParts))
	}
	if err != nil {
		return 0, rock.Fail("count", "queue "+q.Name, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Because(err)
	}
	return countWaiting(l.rows, q.Name), nil
}

// countWaiting returns the number of the queue's jobs without progress. Jobs
// that run at set times do not wait.
func countWaiting(rows []rock.Row, queue string) int {
	waiting, begun := map[string]bool{}, map[string]bool{}
	for i := range rows {
		_, name := splitKey(rows[i].Key())
		id, suffix := splitJobName(name)
		switch suffix {
		case jobSuffix:
			if isEndedMark(rows[i].Value()) {
				continue
			}
			j, err := works.DecodeJob(rows[i].Value())
			waiting[id] = err == nil && j.Queue == queue && j.Spec.Times == 0
		case progressSuffix, outcomeSuffix:
			begun[id] = true
		}
	}
	n := 0
	for id, w := range waiting {
		if w && !begun[id] {
			n++
		}
	}
	return n
}
