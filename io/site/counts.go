package site

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
)

// maxRenewalAge is how old the numbers in an owner's renewal may be. Callers accept
// numbers that are up to 2 s old.
const maxRenewalAge = 1500 * time.Millisecond

// CountWaiting returns the number of the queue's jobs that have not started, in all cells
// that may have jobs of the queue.
func (s *Site) CountWaiting(ctx context.Context, q works.Queue) (int, error) {
	total, err := s.countWaitingIn(ctx, cellOf(q.Pool), q.Name)
	others, _ := s.otherCells(q)
	for _, cell := range others {
		if err != nil {
			break
		}
		var n int
		n, err = s.countWaitingIn(ctx, cell, q.Name)
		total += n
	}
	return total, err
}

// countWaitingIn returns the number of the queue's jobs in a cell that have not started. It
// uses the cell's last renewal, or reads the jobs' rows if that is too old.
func (s *Site) countWaitingIn(ctx context.Context, cell, queue string) (int, error) {
	n, renewedAt := 0, time.Time{}
	s.view.withCell(cell, func(c *cellView) {
		if !c.renewal.WaitingOmitted {
			n, renewedAt = c.renewal.WaitingJobs[queue], c.renewalAt
		}
	})
	if s.now().Sub(renewedAt) <= maxRenewalAge {
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
		return 0, rock.Fail("count", "queue "+queue, rock.Unavailable, rock.NotRun).RetryIn(minRetryAfter).Because(err)
	}
	return countWaiting(l.rows, queue), nil
}

// countWaiting returns the number of the queue's jobs without progress or outcome.
// Jobs with scheduled start times do not count as waiting.
func countWaiting(rows []rock.Row, queue string) int {
	waiting, started := map[string]bool{}, map[string]bool{}
	for i := range rows {
		_, name := splitKey(rows[i].Key())
		id, suffix := splitJobName(name)
		switch suffix {
		case jobSuffix:
			if isMark(rows[i].Value()) {
				continue
			}
			j, err := works.DecodeJob(rows[i].Value())
			waiting[id] = err == nil && j.Queue == queue && j.Spec.Times == 0
		case outcomeSuffix:
			started[id] = true
		default:
			if _, ok := progressChunk(suffix); ok {
				started[id] = true
			}
		}
	}
	n := 0
	for id, w := range waiting {
		if w && !started[id] {
			n++
		}
	}
	return n
}
