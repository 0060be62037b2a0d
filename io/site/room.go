package site

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
)

// checkRoom returns a failure if the owners of the queue's pool could not hold another job in
// memory. A caller may submit a job again that was accepted before; accepted is true then.
func (s *Site) checkRoom(ctx context.Context, q works.Queue, id string, spec *works.Spec) (accepted bool, err error) {
	bytes := cell.Footprint(s.now(), spec)
	admitted := true
	var held int64
	var retryAfter time.Duration
	s.view.withCell(cellOf(q.Pool), func(c *cellView) {
		held = c.renewal.HeldBytes
		retryAfter, admitted = c.gate.Admit(bytes, c.renewal.workLeft())
	})
	if admitted {
		return false, nil
	}
	logger := s.log.WithFields(logrus.Fields{"job": id, "pool": q.Pool, "held_bytes": held, "job_bytes": bytes, "retry_ms": retryAfter.Milliseconds()})
	r, err := s.findJob(ctx, q, id, true)
	switch {
	case r.known():
		logger.Info("Job was accepted before.")
		return true, nil
	case err != nil:
		logger.WithError(err).Info("Job refused, the pool holds too many and cannot be read.")
		return false, err
	}
	s.meters.refused.Inc(1)
	logger.Info("Job refused, the pool holds too many.")
	return false, rock.Fail("submit", "job "+id, rock.Overloaded, rock.NotRun).RetryIn(retryAfter).Becausef("pool %s holds jobs of %d bytes", q.Pool, held)
}

// workLeft returns the time in which the workers of the cell complete its present work, or 0 if it
// has no workers.
func (r *renewal) workLeft() time.Duration {
	if r.Cores <= 0 {
		return 0
	}
	return time.Duration(r.RemainingWork / r.Cores * float64(time.Second))
}
